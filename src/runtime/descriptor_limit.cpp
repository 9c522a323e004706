#include "runtime/descriptor_limit.h"

#include <sys/resource.h>

namespace Toucandeck
{

void raiseDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace Toucandeck
