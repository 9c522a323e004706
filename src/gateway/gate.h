#pragma once

#include "gateway/backend_port.h"
#include "gateway/cold_limiter.h"
#include "gateway/machine_slowness.h"
#include "gateway/wait_queue.h"
#include "gateway/work_times.h"

#include "common/clock.h"
#include "log/logger.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace Toucandeck
{

/// What the gate asks about the backend server beside it.
class GateKeeper
{
public:
    virtual ~GateKeeper() = default;

    /// Why a call may not be sent to the backend server now; NONE if it may.
    virtual wire::CallReason refusal(const Call &call) const = 0;
    virtual std::uint32_t slots() const = 0;
    virtual bool isCold() const = 0;
    virtual double coldRequestsPerSecond() const = 0;
    virtual std::string instance() const = 0;
};

/// The only way to a backend server: all calls to it, from any gateway, pass the gate beside it, which alone counts its slots and
/// bounds its rate while it is cold. What does not fit waits here, by urgency, or is refused at once if waiting is of no use.
class Gate
{
public:
    /// All must outlive the gate.
    Gate(const Clock &clock, Logger &logger, const GateKeeper &keeper, BackendPort &port, const QueueOrder &order);

    /// Called with each call that is submitted, before anything is decided about it.
    void setSubmitted(std::function<void(const Call &)> submitted);

    /// Takes a call; the callback comes once, perhaps before this returns, unless the call is cancelled first.
    std::uint64_t submit(Call call, CallDone done);
    void cancel(std::uint64_t id);

    /// Dispatches and refuses what waits; call it when the backend server's state changes, and regularly.
    void update();

    /// When update() is due again because the backend server is cold; none if not.
    std::optional<TimePoint> nextDispatch() const;

    /// The backend server runs a request with this id.
    bool runs(std::string_view requestId) const;

    wire::LoadReport load() const;
    std::size_t running() const;
    std::size_t waiting() const;
    Duration meanWork() const;

private:
    struct RunningCall
    {
        Call call;
        CallDone done;
        TimePoint started;
        Duration waited;
        double slowness = 1; ///< When it started.
    };

    /// Time in a slot that a call takes at the machine's present speed.
    Duration presentWork(const WaitingCall &call) const;
    Duration expectedWait(const WaitingCall &call) const;
    bool isHopeless(const WaitingCall &call) const;
    void dispatch(WaitingCall call);
    void finish(std::uint64_t id, CallResult result);
    void refuse(const WaitingCall &call, wire::CallReason reason);
    void noteOutcome(const CallResult &result);

    const Clock &m_clock;
    Logger &m_logger;
    const GateKeeper &m_keeper;
    BackendPort &m_port;
    std::function<void(const Call &)> m_submitted;
    WaitQueue m_queue;
    ColdLimiter m_cold;
    WorkTimes m_work; ///< At the usual speed.
    MachineSlowness m_slowness;
    std::unordered_map<std::uint64_t, RunningCall> m_running;
    std::uint64_t m_nextId = 1;
    double m_failedShare = 0;
    bool m_updating = false;
};

} // namespace Toucandeck
