#include "fleet/recorded_instance.h"

#include "fleet/leaving_processes.h"

namespace Toucandeck
{

wire::InstanceReport recordedInstance(const wire::InstanceReport &recorded, const wire::InstanceReport &announced)
{
    auto result = announced;
    LeavingProcesses leaving(recorded);
    leaving.add(LeavingProcesses(announced));
    result.clear_ended();
    result.clear_leaving_processes();
    leaving.addTo(result);
    if (announced.state() == wire::READY && leaving.covers(announced.incarnation())) {
        result.set_state(wire::DRAINING);
    }
    return result;
}

} // namespace Toucandeck
