#pragma once

#include "Toucandeck/Admission"
#include "Toucandeck/Routing"

#include <functional>
#include <memory>
#include <string>

namespace Toucandeck::Model
{

class ModelNode;

/// A request as it arrives at a router.
struct Call
{
    std::uint64_t id = 0;
    unsigned service = 0;
    unsigned depth = 0;
    TimePoint deadline;
    bool nested = false;
    bool statusCheck = false;
    std::string method = "GET";
    std::uint64_t key = 0; ///< Of a service divided by key; 0: any instance.
    std::string idempotencyKey;
    std::optional<WallTime> firstSent;
};

struct Reply
{
    Verdict verdict = Verdict::NotRun;
    std::string body;
    bool shed = false;
    Duration retryAfter{};
};

/// One sending of a call to one instance.
struct Attempt
{
    std::uint64_t id = 0;
    Call call;
    ModelNode *node = nullptr;
    TimePoint sent;
    std::function<void(const Reply &)> onReply;
    bool executed = false;
    bool toldNotRun = false;
    bool settled = false; ///< The sending router has its outcome or does not wait any more.
};
using AttemptPtr = std::shared_ptr<Attempt>;

/// What the model asks of the program around it.
class Environment
{
public:
    virtual ~Environment() = default;

    /// Partition number of the call's key and the node that owns it; nothing while it has no owner.
    virtual ModelNode *ownerOf(const Call &call) = 0;
    /// Wall time bound of the call's partition; see IdempotencyRequest::unknownBefore.
    virtual WallTime unknownBefore(const Call &call) = 0;
    virtual std::vector<ModelNode *> nodesOf(unsigned service) = 0;
    /// Work began at a backend server.
    virtual void executing(const ModelNode &node, Attempt &attempt) = 0;
    virtual void finishedAt(const ModelNode &node, const Attempt &attempt, Duration wait) = 0;
    /// A router got a reply for an attempt.
    virtual void replied(Attempt &attempt, const Reply &reply) = 0;
    /// Call that the work makes before it answers; nothing for none.
    virtual std::optional<Call> nestedCall(const Call &outer) = 0;
    /// Delay of a message; nothing if it is lost.
    virtual std::optional<Duration> delay() = 0;
    /// Whether the connection to the backend server breaks while the work that begins now runs.
    virtual bool breaksConnection() = 0;
};

/// The strategies under test.
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
    Duration bodyTime{}; ///< Mean time from the headers to the end of the answer.
    bool releaseAtHeaders = false; ///< Frees the slot at the headers instead of at the end of the answer.
};

/// All strategies as the daemon uses them.
inline Policies chosenPolicies()
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

/// Round-robin, fixed limits, no ramp, no hedging, no probation, no retries, and a queue without deadlines.
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
