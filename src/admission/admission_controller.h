#pragma once

#include "admission/concurrency_limit.h"
#include "admission/connection_budget.h"
#include "admission/limits.h"
#include "admission/request_queue.h"
#include "admission/start_ramp.h"

#include "common/clock.h"
#include "common/latency_window.h"
#include "common/random_source.h"
#include "log/logger.h"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Toucandeck
{

struct AdmissionOptions
{
    BackendLimits limits{};
    std::size_t queuePerClass = 64; ///< Maximum queue length of each class: callers' requests and service-to-service requests.
    /// Minimum time between opening two connections.
    Duration minConnectionInterval = std::chrono::milliseconds(1);
    /// Time for which a cancelled or failed request keeps its slot, because the backend server detects a closed connection late.
    Duration cancellationGracePeriod = std::chrono::milliseconds(10);
    /// Maximum queueing delay of a nested call while the limit is too low to reserve a slot per depth. Keeps two cold services that
    /// call each other from blocking each other.
    Duration maxNestedWaitWhenCold = std::chrono::milliseconds(50);
    Duration retryAfter = std::chrono::seconds(1); ///< Mean retry delay sent with a refusal; jitter varies it by a factor of 0.5 to 1.5.
    bool reserveSlotsByDepth = true; ///< False only in comparisons: calls of every depth may use every slot.
    bool refuseInfeasible = true; ///< False only in comparisons: requests are queued even if they cannot meet their deadline.
};

/// Admission control of one backend server: decides which requests are sent to it and when. Every request for the backend
/// server must pass it. Requests that are not started are refused with the verdict not-run; each started id ends with exactly one
/// call of onRequestFinished().
class AdmissionController
{
public:
    AdmissionController(AdmissionOptions options,
                        std::unique_ptr<ConcurrencyLimit> limit,
                        std::unique_ptr<StartRamp> ramp,
                        const Clock &clock,
                        RandomSource &random,
                        Logger &logger);
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    /// Starts, queues or refuses a new request. Its id must not be queued or running.
    Decision submit(const AdmissionRequest &request);

    /// Handles the end of a started request. Call poll() afterwards. The id must be running.
    void onRequestFinished(std::uint64_t id, const Outcome &outcome);

    /// Removes a queued request and returns true; its verdict is not-run. Returns false if the request is running: close its
    /// connection and call onRequestFinished() with AnswerKind::Cancelled.
    bool cancel(std::uint64_t id);

    /// Starts queued requests for which a slot and a connection are free; refuses those that can no longer meet their deadline or
    /// are no longer admitted.
    PollResult poll();

    /// Time at which poll() must be called if no other event occurs before; nothing if no call is needed.
    std::optional<TimePoint> nextWakeup() const;

    /// Applies a change of the table. Running requests continue; poll() applies the change to the queue.
    void setLimits(BackendLimits limits);
    void setState(ServingState state);

    /// Sets the state that the backend server announces; a change to true restarts the ramp.
    void setCold(bool cold);

    /// Handles the closing of an idle connection.
    void onIdleConnectionClosed();

    /// Number of idle connections to close after the table lowered the maximum; report each with onIdleConnectionClosed().
    unsigned surplusConnections() const;

    unsigned inFlight() const; ///< Slots in use, including those in the cancellation grace period.
    std::size_t queueSize() const;
    unsigned openConnections() const;
    unsigned currentLimit() const; ///< Minimum of slots, concurrency limit and ramp.
    ServingState state() const;
    bool isIdle() const; ///< True if no slot is in use and the queue is empty.
    /// Median latency of recent answers; zero if there are none.
    Duration medianLatency() const;

private:
    struct Running
    {
        unsigned depth = 0;
        TimePoint startTime;
    };
    /// Slot of an ended request that the backend server may still be processing.
    struct HeldSlot
    {
        unsigned depth = 0;
        TimePoint releaseTime;
    };

    bool hasFreeSlot(unsigned depth) const;
    unsigned slotLimitForDepth(unsigned depth) const;
    bool canStartQueued() const;
    bool acceptsRequests() const;
    Start start(const AdmissionRequest &request, bool openConnection);
    Refusal refuse(std::uint64_t id, ErrorCode code, std::string message);
    Decision enqueue(const AdmissionRequest &request);
    std::optional<Refusal> refuseOnArrival(const AdmissionRequest &request);
    Refusal refuseQueued(const AdmissionRequest &request);
    TimePoint latestStartTime(const QueuedRequest &queued) const;
    Duration expectedQueueingDelay(bool nested) const;
    void releaseExpiredHolds();
    void releaseSlot(unsigned depth);

    AdmissionOptions m_options;
    std::unique_ptr<ConcurrencyLimit> m_limit;
    std::unique_ptr<StartRamp> m_ramp;
    const Clock &m_clock;
    RandomSource &m_random;
    Logger &m_logger;
    ConnectionBudget m_connections;
    RequestQueue m_queue;
    LatencyWindow m_latency;
    ServingState m_state = ServingState::Serving;
    bool m_isAnnouncedCold = false;
    std::unordered_map<std::uint64_t, Running> m_runningRequests;
    std::deque<HeldSlot> m_heldSlots;
    std::array<unsigned, kMaxDepth + 1> m_slotsByDepth{}; ///< Slots in use per depth.
    unsigned m_inFlight = 0; ///< Sum of m_slotsByDepth.
};

} // namespace Toucandeck
