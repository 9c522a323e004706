#pragma once

#include "gateway/admission_policy.h"
#include "gateway/admission_rule.h"
#include "gateway/admission_tally.h"
#include "gateway/backend_port.h"
#include "gateway/cold_limiter.h"
#include "gateway/late_share.h"
#include "gateway/machine_slowness.h"
#include "gateway/offered_work.h"
#include "gateway/reference_work.h"
#include "gateway/returning_work.h"
#include "gateway/server_speed.h"
#include "gateway/service_times.h"
#include "gateway/slot_shares.h"
#include "gateway/wait_queue.h"

#include "common/clock.h"
#include "log/logger.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace Toucandeck
{

/// State of the backend server on this VM that decides which calls are admitted.
class BackendStatus
{
public:
    virtual ~BackendStatus() = default;

    /// Why a call may not be sent to the backend server now; NONE if it may.
    virtual wire::CallReason refusal(const Call &call) const = 0;
    virtual std::uint32_t slots() const = 0;
    virtual bool isCold() const = 0;
    virtual double coldRequestsPerSecond() const = 0;
    virtual std::string instance() const = 0;
};

/// Admission control for the backend server on this VM. All calls to it, from any gateway, pass through this queue, which limits their
/// concurrency to its slots and their rate while it is cold. Calls without a free slot are queued by urgency, or refused at once as the
/// AdmissionRule of the policy says. SlotShares decides between requests of clients and nested calls.
class BackendAdmission
{
public:
    /// All arguments must outlive this object.
    BackendAdmission(const Clock &clock,
                     Logger &logger,
                     const BackendStatus &backendStatus,
                     BackendPort &port,
                     const QueueOrder &order,
                     AdmissionPolicy policy = AdmissionPolicy::RefuseLate);

    /// Called with each submitted call, before it is admitted, queued or refused.
    void setSubmitHandler(std::function<void(const Call &)> handler);

    /// Sets the usual work of calls, with which the backend server is compared. Without it, the speed is unknown.
    /// @param referenceWork must outlive this object.
    void setReferenceWork(const ReferenceWork *referenceWork);

    /// Handles a new incarnation of the backend server: the speed and the service times of the former one do not apply to it.
    void onIncarnationStarted();

    /// Called with each call that passes the other checks, before it is queued. It yields a retry delay to refuse the call because of its
    /// nested calls, and may replace @p done.
    using StartGate = std::function<std::optional<Duration>(const Call &, CallDone &done)>;
    void setStartGate(StartGate gate);

    /// Admits, queues or refuses a call. @p done is called once, perhaps before this returns, unless the call is cancelled first.
    /// @return the id for cancel().
    std::uint64_t submit(Call call, CallDone done);
    void cancel(std::uint64_t id);

    /// Dispatches queued calls and refuses those that cannot be run in time. Call it when the backend server's state changes, and
    /// periodically.
    void processQueue();

    /// When the rate limit of a cold backend server allows the next dispatch; none if it is not cold or no call is queued.
    std::optional<TimePoint> nextDispatchTime() const;

    /// True if the backend server runs a request with this id.
    bool isRunning(std::string_view requestId) const;
    /// Number of nested calls of a running request that were answered; zero if no request with this id runs.
    std::uint32_t answeredCalls(std::string_view requestId) const;
    /// Handles the answer to a nested call of a running request.
    void onNestedCallAnswered(std::string_view requestId);
    /// Handles the start and the end of a nested call of a running request. While one is pending, the backend server does not work on the
    /// request.
    void onNestedCallStarted(std::string_view requestId);
    void onNestedCallEnded(std::string_view requestId);

    wire::LoadReport loadReport() const;
    std::size_t runningCount() const;
    std::size_t runningCount(CallOrigin origin) const;
    std::size_t waitingCount() const;
    std::size_t waitingCount(CallOrigin origin) const;
    const AdmissionTally &tally() const;
    Duration meanServiceTime() const;
    /// Speed of the backend server relative to its service's, in thousandths; zero is unknown.
    std::uint32_t speedPermille() const;
    /// The same over a longer time, for decisions whose change has a cost.
    std::uint32_t longTermSpeedPermille() const;
    /// Expected queueing delay of a client's call of middle urgency that arrives now.
    Duration usualWait() const;

private:
    struct RunningCall
    {
        Call call;
        CallDone done;
        TimePoint startedAt;
        Duration queueingDelay;
        std::uint32_t answeredCalls = 0; ///< Nested calls of this request that were answered.
        double slowness = 1; ///< Relative slowness of the machine when the call started.
        std::uint64_t incarnation = 0; ///< Number of the incarnation that runs the call.
        std::uint32_t pendingNestedCalls = 0;
        TimePoint nestedSince; ///< Start of the time with a pending nested call.
        Duration nestedTime{}; ///< Total time with a pending nested call, without the present one.
    };

    static Duration timeWithNestedCall(const RunningCall &call, TimePoint now);
    std::optional<Duration> referenceServiceTime(const Call &call) const;
    /// Learns from an answered call. @return its work; zero if it tells nothing about the usual work.
    Duration recordWork(const RunningCall &running, const CallResult &result);

    /// Expected service time of a call at the machine's current speed.
    Duration currentServiceTime(const WaitingCall &call) const;
    /// Service time of the calls that are dispatched before a call.
    struct WorkBefore
    {
        Duration all{};
        Duration clients{}; ///< Of requests of clients.
    };

    WorkBefore workBefore(const WaitingCall &call) const;
    CallProspect prospect(const WaitingCall &call, const WorkBefore &before) const;
    Duration expectedQueueingDelay(const WaitingCall &call) const;
    /// True if the call gets a slot at once.
    bool hasFreeSlot() const;
    /// Time for which the calls before occupy the slots that this call can get, at the usual speed of the machine.
    Duration delayByCallsBefore(const WaitingCall &call, const WorkBefore &before) const;
    /// The same with the clients' calls of ranks below @p rank that arrive in the meantime.
    Duration delayWithOvertakers(std::uint32_t rank, const WorkBefore &before) const;
    /// Time after which a client that is refused now is expected to get a slot.
    Duration retryDelay(const Call &call);
    SlotShares slotShares() const;
    std::optional<WaitingCall> takeNext();
    bool isInfeasible(const WaitingCall &call) const;
    std::vector<WaitingCall> removeInfeasible();
    void recordOffered(const WaitingCall &call);
    std::unordered_map<std::uint64_t, RunningCall>::const_iterator findRunning(std::string_view requestId) const;
    void dispatch(WaitingCall call);
    void finish(std::uint64_t id, CallResult result);
    /// @param retryAfter is the shortest delay of a retry.
    void refuse(const WaitingCall &call, wire::CallReason reason, Duration retryAfter = {});
    void recordOutcome(const CallResult &result);

    const Clock &m_clock;
    Logger &m_logger;
    const BackendStatus &m_backendStatus;
    BackendPort &m_port;
    std::function<void(const Call &)> m_submitHandler;
    StartGate m_startGate;
    AdmissionPolicy m_policy;
    std::unique_ptr<AdmissionRule> m_rule;
    WaitQueue m_queue;
    OfferedWork m_offeredWork;
    LateShare m_lateShare;
    ReturningWork m_returningWork;
    TimePoint m_lastReview; ///< When the waiting calls were last checked against the rule.
    ColdLimiter m_coldLimiter;
    ServiceTimes m_serviceTimes; ///< Normalised to the usual speed of the machine.
    MachineSlowness m_slowness;
    const ReferenceWork *m_referenceWork = nullptr;
    ServerSpeed m_speed;
    ServerSpeed m_longTermSpeed;
    std::uint64_t m_incarnation = 0; ///< Number of the current incarnation.
    AdmissionTally m_tally;
    std::unordered_map<std::uint64_t, RunningCall> m_running;
    std::uint64_t m_nextId = 1;
    double m_failedShare = 0;
    bool m_processing = false;
};

} // namespace Toucandeck
