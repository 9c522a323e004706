#include "model_cluster.h"

namespace Toucandeck::Model
{

using namespace std::chrono_literals;

namespace
{

constexpr auto kMaxClockSkew = 100ms; // of the callers' wall clocks; the router tolerates 250 ms

/// Request that its caller may resend under the same idempotency key.
struct Submission
{
    std::string key;
    std::uint64_t partitionKey = 0;
    unsigned service = 0;
    std::chrono::milliseconds skew{};
    std::vector<WallTime> sendTimesWithoutOutcome; ///< By the caller's wall clock.
    unsigned sends = 0; ///< Number of times that it was sent.
};
using SubmissionPtr = std::shared_ptr<Submission>;

void submit(ModelCluster &cluster, const SubmissionPtr &submission);

void resendLater(ModelCluster &cluster, const SubmissionPtr &submission, Duration delay, const char *reason)
{
    constexpr unsigned kMaxSends = 6;
    if (submission->sends < kMaxSends) {
        ++cluster.faults[reason];
        cluster.simulator.after(delay, [&cluster, submission] { submit(cluster, submission); });
    }
}

void handleOutcome(ModelCluster &cluster, const SubmissionPtr &submission, WallTime sent, const Reply &reply)
{
    auto &simulator = cluster.simulator;
    switch (reply.verdict) {
    case Verdict::NotRun: {
        auto &times = submission->sendTimesWithoutOutcome;
        times.erase(std::find(times.begin(), times.end(), sent));
        resendLater(cluster, submission, simulator.between(10ms, 300ms), "resend_after_not_run");
        break;
    }
    case Verdict::MayHaveRun:
        resendLater(cluster, submission, simulator.between(1ms, 3s), "resend_after_may_have_run");
        break;
    case Verdict::Ran:
        if (simulator.chance(0.2)) {
            resendLater(cluster, submission, simulator.between(100ms, 12s), "resend_after_answer");
        }
        break;
    }
}

void submit(ModelCluster &cluster, const SubmissionPtr &submission)
{
    ++submission->sends;
    const auto now = cluster.simulator.clock.wallNow() + submission->skew;
    submission->sendTimesWithoutOutcome.push_back(now);
    Call call;
    call.id = nextUniqueId();
    call.service = submission->service;
    call.deadline = cluster.simulator.now() + cluster.simulator.between(50ms, 1s);
    call.method = "POST";
    call.key = submission->partitionKey;
    call.idempotencyKey = submission->key;
    call.firstSent = *std::min_element(submission->sendTimesWithoutOutcome.begin(), submission->sendTimesWithoutOutcome.end());
    cluster.randomForwarder().handle(call, [&cluster, submission, call, now](const Reply &reply) {
        cluster.onOutcome(call, reply);
        handleOutcome(cluster, submission, now, reply);
    });
}

void startSubmission(ModelCluster &cluster)
{
    auto &simulator = cluster.simulator;
    auto submission = std::make_shared<Submission>();
    submission->key = "work " + std::to_string(++cluster.counts["submissions"]);
    submission->partitionKey = simulator.random.next() | 1U;
    submission->service = static_cast<unsigned>(simulator.random.below(kServices));
    submission->skew = std::chrono::duration_cast<std::chrono::milliseconds>(simulator.between(-kMaxClockSkew, kMaxClockSkew));
    submit(cluster, submission);
    if (simulator.chance(0.2)) {
        resendLater(cluster, submission, simulator.between(0ms, 5ms), "resend_at_once");
    }
}

/// Sends a POST request without an idempotency key, which must be executed at most once.
void startUnkeyedWork(ModelCluster &cluster)
{
    Call call;
    call.id = nextUniqueId();
    call.service = static_cast<unsigned>(cluster.simulator.random.below(kServices));
    call.deadline = cluster.simulator.now() + cluster.simulator.between(20ms, 1s);
    call.method = "POST";
    cluster.randomForwarder().handle(call, [&cluster, call](const Reply &reply) { cluster.onOutcome(call, reply); });
}

void startRead(ModelCluster &cluster)
{
    Call call;
    call.id = nextUniqueId();
    call.service = static_cast<unsigned>(cluster.simulator.random.below(kServices));
    call.deadline = cluster.simulator.now() + 1s;
    cluster.randomForwarder().handle(call, [&cluster, call](const Reply &reply) { cluster.onOutcome(call, reply); });
}

void startStatusCheck(ModelCluster &cluster)
{
    Call call;
    call.id = nextUniqueId();
    call.service = static_cast<unsigned>(cluster.simulator.random.below(kServices));
    call.depth = 1;
    call.deadline = cluster.simulator.now() + 500ms;
    call.nested = true;
    call.statusCheck = true;
    const auto domain = static_cast<unsigned>(cluster.simulator.random.below(kDomains));
    cluster.node(1 - call.service, domain).forwarder->handle(call, [&cluster, call](const Reply &reply) {
        cluster.onOutcome(call, reply);
        ++cluster.counts[reply.verdict == Verdict::Ran ? "status_ran" : "status_refused"];
        if (reply.verdict != Verdict::Ran && cluster.simulator.now() >= call.deadline && cluster.isUndisturbed()) {
            cluster.violation("status_check_unanswered");
        }
    });
}

void scheduleRepeatedly(ModelCluster &cluster, void (*start)(ModelCluster &), Duration mean, Duration busyMean)
{
    // The load exceeds the capacity of all slots during one second in four.
    const bool busy = cluster.simulator.now().time_since_epoch() % 4s < 1s;
    cluster.simulator.after(cluster.simulator.exponential(busy ? busyMean : mean), [&cluster, start, mean, busyMean] {
        start(cluster);
        scheduleRepeatedly(cluster, start, mean, busyMean);
    });
}

} // namespace

void scheduleTraffic(ModelCluster &cluster)
{
    scheduleRepeatedly(cluster, startRead, 1ms, 80us);
    scheduleRepeatedly(cluster, startSubmission, 10ms, 5ms);
    scheduleRepeatedly(cluster, startUnkeyedWork, 10ms, 5ms);
    scheduleRepeatedly(cluster, startStatusCheck, 10ms, 10ms);
}

} // namespace Toucandeck::Model
