#include "world.h"

namespace Toucandeck::Model
{

using namespace std::chrono_literals;

namespace
{

constexpr auto kLargestSkew = 100ms; // of callers' wall clocks; the router assumes 250 ms

/// A caller that resends work under the same idempotency key.
struct Submission
{
    std::string key;
    std::uint64_t partitionKey = 0;
    unsigned service = 0;
    std::chrono::milliseconds skew{};
    std::vector<WallTime> withoutOutcome; ///< Send times, by the caller's clock.
    unsigned sends = 0;
};
using SubmissionPtr = std::shared_ptr<Submission>;

void submit(World &world, const SubmissionPtr &submission);

void resendLater(World &world, const SubmissionPtr &submission, Duration delay, const char *reason)
{
    constexpr unsigned kMostSends = 6;
    if (submission->sends < kMostSends) {
        ++world.faults[reason];
        world.simulator.after(delay, [&world, submission] { submit(world, submission); });
    }
}

void handleOutcome(World &world, const SubmissionPtr &submission, WallTime sent, const Reply &reply)
{
    auto &simulator = world.simulator;
    switch (reply.verdict) {
    case Verdict::NotRun: {
        auto &times = submission->withoutOutcome;
        times.erase(std::find(times.begin(), times.end(), sent));
        resendLater(world, submission, simulator.between(10ms, 300ms), "resend_after_not_run");
        break;
    }
    case Verdict::MayHaveRun:
        resendLater(world, submission, simulator.between(1ms, 3s), "resend_after_may_have_run");
        break;
    case Verdict::Ran:
        if (simulator.chance(0.2)) {
            resendLater(world, submission, simulator.between(100ms, 12s), "resend_after_answer");
        }
        break;
    }
}

void submit(World &world, const SubmissionPtr &submission)
{
    ++submission->sends;
    const auto now = world.simulator.clock.wallNow() + submission->skew;
    submission->withoutOutcome.push_back(now);
    Call call;
    call.id = nextAttemptId();
    call.service = submission->service;
    call.deadline = world.simulator.now() + world.simulator.between(50ms, 1s);
    call.method = "POST";
    call.key = submission->partitionKey;
    call.idempotencyKey = submission->key;
    call.firstSent = *std::min_element(submission->withoutOutcome.begin(), submission->withoutOutcome.end());
    world.anyFront().handle(call, [&world, submission, call, now](const Reply &reply) {
        world.outcome(call, reply);
        handleOutcome(world, submission, now, reply);
    });
}

void startSubmission(World &world)
{
    auto &simulator = world.simulator;
    auto submission = std::make_shared<Submission>();
    submission->key = "work " + std::to_string(++world.counts["submissions"]);
    submission->partitionKey = simulator.random.next() | 1U;
    submission->service = static_cast<unsigned>(simulator.random.below(kServices));
    submission->skew = std::chrono::duration_cast<std::chrono::milliseconds>(simulator.between(-kLargestSkew, kLargestSkew));
    submit(world, submission);
    if (simulator.chance(0.2)) {
        resendLater(world, submission, simulator.between(0ms, 5ms), "resend_at_once");
    }
}

/// Work without an idempotency key: each delivery runs at most once.
void startUnkeyedWork(World &world)
{
    Call call;
    call.id = nextAttemptId();
    call.service = static_cast<unsigned>(world.simulator.random.below(kServices));
    call.deadline = world.simulator.now() + world.simulator.between(20ms, 1s);
    call.method = "POST";
    world.anyFront().handle(call, [&world, call](const Reply &reply) { world.outcome(call, reply); });
}

void startRead(World &world)
{
    Call call;
    call.id = nextAttemptId();
    call.service = static_cast<unsigned>(world.simulator.random.below(kServices));
    call.deadline = world.simulator.now() + 1s;
    world.anyFront().handle(call, [&world, call](const Reply &reply) { world.outcome(call, reply); });
}

void startStatusCheck(World &world)
{
    Call call;
    call.id = nextAttemptId();
    call.service = static_cast<unsigned>(world.simulator.random.below(kServices));
    call.depth = 1;
    call.deadline = world.simulator.now() + 500ms;
    call.nested = true;
    call.statusCheck = true;
    const auto domain = static_cast<unsigned>(world.simulator.random.below(kDomains));
    world.node(1 - call.service, domain).front->handle(call, [&world, call](const Reply &reply) {
        world.outcome(call, reply);
        ++world.counts[reply.verdict == Verdict::Ran ? "status_ran" : "status_refused"];
        if (reply.verdict != Verdict::Ran && world.simulator.now() >= call.deadline && world.isQuiet()) {
            world.violation("status_check_unanswered");
        }
    });
}

void repeat(World &world, void (*start)(World &), Duration mean, Duration busyMean)
{
    // One second in four has more work than all slots can do.
    const bool busy = world.simulator.now().time_since_epoch() % 4s < 1s;
    world.simulator.after(world.simulator.exponential(busy ? busyMean : mean), [&world, start, mean, busyMean] {
        start(world);
        repeat(world, start, mean, busyMean);
    });
}

} // namespace

void scheduleTraffic(World &world)
{
    repeat(world, startRead, 1ms, 80us);
    repeat(world, startSubmission, 10ms, 5ms);
    repeat(world, startUnkeyedWork, 10ms, 5ms);
    repeat(world, startStatusCheck, 10ms, 10ms);
}

} // namespace Toucandeck::Model
