#include "fleet/recorded_instance.h"

#include "fleet/incarnation.h"

namespace Toucandeck
{

namespace
{

std::string leavingIncarnation(const wire::InstanceReport &recorded, const wire::InstanceReport &announced)
{
    if (announced.state() == wire::DRAINING) {
        return announced.incarnation();
    }
    if (!announced.leaving().empty()) {
        return announced.leaving();
    }
    return recorded.state() == wire::DRAINING ? recorded.incarnation() : recorded.leaving();
}

} // namespace

wire::InstanceReport recordedInstance(const wire::InstanceReport &recorded, const wire::InstanceReport &announced)
{
    auto result = announced;
    result.clear_ended();
    result.set_leaving(leavingIncarnation(recorded, announced));
    if (announced.state() == wire::READY && isSameProcess(announced.incarnation(), result.leaving())) {
        result.set_state(wire::DRAINING);
    }
    return result;
}

} // namespace Toucandeck
