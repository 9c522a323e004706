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
    std::size_t queuePerClass = 64; ///< Queued requests of callers, and as many of services.
    Duration connectionSpacing = std::chrono::milliseconds(1);
    /// A cancelled request holds its slot this long, because the backend server notices a closed connection late.
    Duration cancelGrace = std::chrono::milliseconds(10);
    /// Longest wait of a nested call while the limit is too low for a slot per depth: two cold services must not wait for each other.
    Duration nestedWaitWhenCold = std::chrono::milliseconds(50);
    Duration retryAfter = std::chrono::seconds(1); ///< Mean of the advice with a refusal.
    bool depthReserve = true; ///< False only for comparison: every depth may use every slot.
    bool refuseHopeless = true; ///< False only for comparison: requests wait however late their answer will be.
};

/// Decides which requests one backend server gets and when. All work for the backend server passes here.
/// Not started requests are refused with the verdict not-run; every id that was started ends with one call of finished().
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

    Decision offer(const Offer &offer);

    /// A started request ended. Call poll() afterwards. The id must have been started and not finished.
    void finished(std::uint64_t id, const Outcome &outcome);

    /// Removes a queued request: true, and the verdict is not-run. False if the request runs: close its connection and call
    /// finished() with AnswerKind::Cancelled.
    bool cancel(std::uint64_t id);

    /// Starts queued requests for which there is room and refuses those that can no longer meet their deadline.
    PollResult poll();

    /// When poll() next has something to do without another event; nothing if never.
    std::optional<TimePoint> nextWakeup() const;

    /// The table changed. What runs goes on; poll() applies the change to the queue.
    void setLimits(BackendLimits limits);
    void setState(ServingState state);

    /// As announced by the backend server; a change to true restarts the ramp.
    void setCold(bool cold);

    /// An idle connection was closed.
    void connectionClosed();

    /// Idle connections to close after the table lowered the number; report each with connectionClosed().
    unsigned surplusConnections() const;

    unsigned inFlight() const; ///< Slots in use, those of cancelled requests in their grace included.
    std::size_t queued() const;
    unsigned openConnections() const;
    unsigned currentLimit() const; ///< Lowest of slots, concurrency limit and ramp.
    ServingState state() const;
    bool isIdle() const; ///< Nothing runs or waits.
    /// Median latency of recent answers; zero without any.
    Duration recentLatency() const;

private:
    struct Running
    {
        unsigned depth = 0;
        TimePoint started;
    };
    struct Lingering
    {
        unsigned depth = 0;
        TimePoint until;
    };

    bool mayUseSlot(unsigned depth) const;
    unsigned slotsForDepth(unsigned depth) const;
    bool mayStartWaiting() const;
    bool admitsNew() const;
    Start start(const Offer &offer, bool openConnection);
    Refusal refuse(std::uint64_t id, ErrorCode code, std::string message);
    Decision enqueue(const Offer &offer);
    std::optional<Refusal> refusalAtOffer(const Offer &offer);
    Refusal refuseQueued(const Offer &offer);
    TimePoint latestStart(const QueuedOffer &queued) const;
    Duration expectedWait(bool nested) const;
    void releaseLingering();
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
    bool m_announcedCold = false;
    std::unordered_map<std::uint64_t, Running> m_running;
    std::deque<Lingering> m_lingering;
    std::array<unsigned, kMaxDepth + 1> m_byDepth{}; ///< Slots in use per depth.
    unsigned m_inFlight = 0; ///< Sum of m_byDepth.
};

} // namespace Toucandeck
