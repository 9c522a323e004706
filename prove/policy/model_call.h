#pragma once

#include "Toucandeck/Admission"
#include "Toucandeck/Routing"

#include <functional>
#include <memory>
#include <string>

namespace Toucandeck::Model
{

class ModelNode;

/// Request as a router receives it.
struct Call
{
    std::uint64_t id = 0;
    unsigned service = 0;
    unsigned depth = 0;
    TimePoint deadline;
    bool nested = false;
    bool statusCheck = false;
    std::string method = "GET";
    std::uint64_t key = 0; ///< Partitioning key; 0: any instance may serve the call.
    std::string idempotencyKey;
    std::optional<WallTime> firstSent;
};

/// Response to a call or to one attempt.
struct Reply
{
    Verdict verdict = Verdict::NotRun;
    std::string body;
    bool shed = false;
    Duration retryAfter{};
};

/// Transmission of a call to one instance.
struct Attempt
{
    std::uint64_t id = 0;
    Call call;
    ModelNode *node = nullptr;
    TimePoint sendTime;
    std::function<void(const Reply &)> onReply;
    bool executed = false; ///< A backend server started to execute it.
    bool reportedNotRun = false; ///< The sending router received the verdict not-run.
    bool settled = false; ///< The sending router has received the outcome or stopped waiting for it.
};
using AttemptPtr = std::shared_ptr<Attempt>;

/// Callbacks by which the model queries and notifies the program that uses it.
class Environment
{
public:
    virtual ~Environment() = default;

    /// Node that owns the partition of the call's key; null while the partition has no owner.
    virtual ModelNode *ownerOf(const Call &call) = 0;
    /// Value of IdempotencyRequest::unknownBefore for the call's partition.
    virtual WallTime unknownBefore(const Call &call) = 0;
    /// All instances of a service.
    virtual std::vector<ModelNode *> nodesOf(unsigned service) = 0;
    /// Called when a backend server starts to execute an attempt.
    virtual void onExecutionStarted(const ModelNode &node, Attempt &attempt) = 0;
    /// Called when an attempt was executed and answered; @p wait is its queueing delay.
    virtual void onExecutionFinished(const ModelNode &node, const Attempt &attempt, Duration wait) = 0;
    /// Called when the sending router receives the reply to an attempt.
    virtual void onReplyReceived(Attempt &attempt, const Reply &reply) = 0;
    /// Call that the backend server makes while it executes @p outer; std::nullopt for none.
    virtual std::optional<Call> nestedCall(const Call &outer) = 0;
    /// Delay of the next message; std::nullopt if it is lost.
    virtual std::optional<Duration> messageDelay() = 0;
    /// Whether the connection to the backend server breaks during the request that starts now.
    virtual bool breaksConnection() = 0;
};

/// Strategies and options of the routers in the model.
struct Policies
{
    std::function<std::unique_ptr<ConcurrencyLimit>()> limit;
    std::function<std::unique_ptr<StartRamp>(const Clock &)> ramp;
    std::function<std::unique_ptr<InstanceChooser>(RandomSource &)> chooser;
    std::function<std::unique_ptr<OutlierPolicy>(const Clock &, Logger &)> outlier;
    std::function<std::unique_ptr<RetryPolicy>(const Clock &, RandomSource &)> retry;
    std::function<std::unique_ptr<HedgePolicy>(const Clock &)> hedge;
    AdmissionOptions admission;
    IdempotencyOptions idempotency;
    Duration bodyTime{}; ///< Mean time from the headers to the end of the response.
    bool releaseAtHeaders = false; ///< Releases the slot at the headers instead of at the end of the response.
};

/// Strategies that the daemon uses.
inline Policies daemonPolicies()
{
    Policies it;
    it.limit = [] { return std::make_unique<AimdLimit>(); };
    it.ramp = [](const Clock &clock) { return std::make_unique<ColdStartRamp>(clock); };
    it.chooser = [](RandomSource &random) { return std::make_unique<TwoChoices>(random); };
    it.outlier = [](const Clock &clock, Logger &logger) { return std::make_unique<OutlierDetector>(clock, logger); };
    it.retry = [](const Clock &clock, RandomSource &random) { return std::make_unique<VerdictRetry>(clock, random); };
    it.hedge = [](const Clock &clock) { return std::make_unique<QuantileHedge>(clock); };
    return it;
}

/// Baseline: round-robin, fixed limits, no ramp, no hedging, no probation, no retries, and a queue that ignores deadlines.
inline Policies naivePolicies()
{
    Policies it;
    it.limit = [] { return std::make_unique<FixedLimit>(); };
    it.ramp = [](const Clock & /*clock*/) { return std::make_unique<NoRamp>(); };
    it.chooser = [](RandomSource & /*random*/) { return std::make_unique<RoundRobin>(); };
    it.outlier = [](const Clock & /*clock*/, Logger & /*logger*/) { return std::make_unique<NoOutlierDetection>(); };
    it.retry = [](const Clock & /*clock*/, RandomSource & /*random*/) { return std::make_unique<NoRetry>(); };
    it.hedge = [](const Clock & /*clock*/) { return std::make_unique<NoHedge>(); };
    it.admission.reserveSlotsByDepth = false;
    it.admission.refuseInfeasible = false;
    it.admission.queuePerClass = 1000;
    return it;
}

} // namespace Toucandeck::Model
