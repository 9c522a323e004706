#include "fleet/recorded_instance.h"

namespace Toucandeck
{

wire::InstanceReport recordedInstance(const wire::InstanceReport &recorded, const wire::InstanceReport &announced)
{
    auto result = announced;
    result.clear_ended();
    const bool leaves = recorded.state() == wire::DRAINING && recorded.incarnation() == announced.incarnation();
    if (leaves && announced.state() == wire::READY) {
        result.set_state(wire::DRAINING);
    }
    return result;
}

} // namespace Toucandeck
