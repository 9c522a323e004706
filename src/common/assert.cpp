#include "common/assert.h"

#include <cstdlib>
#include <fmt/core.h>

namespace Toucandeck::internal
{

void assertionFailed(const char *condition, const char *reason, const char *file, int line)
{
    fmt::print(stderr, "assertion failed: {} ({}) at {}:{}\n", condition, reason, file, line);
    std::abort();
}

} // namespace Toucandeck::internal
