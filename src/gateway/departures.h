#pragma once

#include "fleet/leaving_processes.h"
#include "runtime/event_loop.h"

#include <functional>
#include <list>
#include <string>

namespace Toucandeck
{

/// Notices of backend servers on this VM that they stop, which wait for their confirmation. A notice is confirmed once the controllers have
/// recorded it in the replicated log, so that a later process of this gateway and a new leader know it too.
class Departures
{
public:
    /// A backend server waits one second for an answer.
    static constexpr std::chrono::milliseconds kTimeout{ 900 };

    /// Receives whether the notice was recorded in time. If it was not, the backend server should repeat it.
    using Done = std::function<void(bool isRecorded)>;

    explicit Departures(EventLoop &loop);

    bool isRecorded(const std::string &incarnation) const;

    /// Calls @p done once the departure of the incarnation is recorded, or after kTimeout. Call it for one that is not recorded yet.
    void confirm(const std::string &incarnation, Done done);

    /// Sets what the controllers have recorded.
    void setRecorded(const wire::RecordedDepartures &departures);

    std::size_t pendingCount() const;

private:
    struct Notice
    {
        std::string incarnation;
        Done done;
        EventLoop::Watch timer;
    };

    EventLoop &m_loop;
    LeavingProcesses m_recorded;
    std::list<Notice> m_notices;
};

} // namespace Toucandeck
