// Guards against admission that earns less than it could while demand exceeds capacity: late calls refused though slots are free a moment
// later, calls held until their deadline, nested calls refused, and entries whose clients burst. One backend server with slots is simulated
// in virtual time, without network, and each pattern is played with the policy and with the one that refuses late calls.
#include "fakes.h"

#include <gtest/gtest.h>

#include "common/random_source.h"

#include <numbers>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

using Seconds = std::chrono::duration<double>;

/// Calls with the same properties.
struct Kind
{
    std::uint32_t rank = 1;
    milliseconds serviceTime{ 120 };
    milliseconds targetLatency{ 400 };
    milliseconds deadline{ 1000 };
    double slots = 0; ///< Mean number of slots that the calls would occupy if all were run.
    double lateValue = 0.3; ///< Value of a late answer; one in time has the value 1, a refusal 0.
    bool nested = false;
    std::string entry;

    double perSecond() const
    {
        return slots / Seconds(serviceTime).count();
    }
};

struct LoadPattern
{
    std::vector<Kind> kinds;
    double wave = 0; ///< Amplitude of the demand, relative to its mean.
    int retries = 0; ///< Retries of each call after refusals.
    double slowShare = 0; ///< Share of the time in which the backend server is three times slower, in periods of 250 ms.
};

struct KindTally
{
    int requests = 0;
    int served = 0;
    int inTime = 0;
    double value = 0;
    Seconds latency{}; ///< Total over the served calls.
    int refusals = 0;
    Seconds refusedWait{}; ///< Total queueing delay of the refused calls.

    void add(const KindTally &other)
    {
        requests += other.requests;
        served += other.served;
        inTime += other.inTime;
        value += other.value;
        latency += other.latency;
        refusals += other.refusals;
        refusedWait += other.refusedWait;
    }

    double servedShare() const
    {
        return static_cast<double>(served) / requests;
    }

    double inTimeShare() const
    {
        return static_cast<double>(inTime) / requests;
    }

    Seconds meanLatency() const
    {
        return latency / std::max(1, served);
    }

    Seconds meanRefusedWait() const
    {
        return refusedWait / std::max(1, refusals);
    }
};

class OverloadModel
{
public:
    OverloadModel(AdmissionPolicy policy, std::uint32_t seed)
        : m_admission(m_clock, m_logger, m_backendStatus, m_backend, order(policy), policy)
        , m_arrivals(seed)
        , m_speeds(seed)
    {
        m_backendStatus.m_slots = kSlots;
    }

    /// Plays the pattern for two waves of 15 s. @return the results by kind.
    std::vector<KindTally> play(const LoadPattern &pattern)
    {
        m_pattern = pattern;
        m_tallies.resize(pattern.kinds.size());
        for (int ms = 0; ms < 30'000; ++ms) {
            m_clock.advance(milliseconds(1));
            if (ms % 250 == 0) {
                m_slowness = m_speeds.unit() < pattern.slowShare ? 3 : 1;
            }
            const double demand = 1 + pattern.wave * std::sin(2 * std::numbers::pi * ms / 15'000);
            for (std::size_t kind = 0; kind < pattern.kinds.size(); ++kind) {
                if (m_arrivals.unit() < pattern.kinds[kind].perSecond() * demand / 1000) {
                    ++m_tallies[kind].requests;
                    submit({ kind, m_clock.now(), pattern.kinds[kind].serviceTime * (0.5 + m_arrivals.unit()), 0 });
                }
            }
            submitRetries();
            finishWork();
            if (ms % 20 == 0) {
                m_admission.processQueue();
            }
            m_mostRunning = std::max(m_mostRunning, m_backend.m_running.size());
        }
        EXPECT_LE(m_mostRunning, kSlots);
        return m_tallies;
    }

    static constexpr std::uint32_t kSlots = 9;

private:
    struct Attempt
    {
        std::size_t kind = 0;
        TimePoint firstAttempt;
        Seconds serviceTime{};
        int retries = 0;
    };

    static const QueueOrder &order(AdmissionPolicy policy)
    {
        static const UrgencyOrder byTarget;
        static const FairUrgencyOrder fair;
        return policy == AdmissionPolicy::ServeLate ? static_cast<const QueueOrder &>(fair) : byTarget;
    }

    void submit(const Attempt &attempt)
    {
        const auto &kind = m_pattern.kinds[attempt.kind];
        auto call = callNamed(std::to_string(++m_calls), m_clock, kind.rank);
        call.targetTime = attempt.firstAttempt + kind.targetLatency;
        call.deadline = attempt.firstAttempt + kind.deadline;
        call.clientRetry = attempt.retries > 0;
        call.nested = kind.nested;
        call.entry = kind.entry;
        m_work[call.requestId] = attempt.serviceTime;
        const auto arrivedAt = m_clock.now();
        m_admission.submit(call, [this, attempt, arrivedAt](const CallResult &result) {
            if (result.outcome == wire::ANSWERED) {
                recordAnswer(attempt);
            } else {
                recordRefusal(attempt, arrivedAt, result.retryAfter);
            }
        });
    }

    void recordAnswer(const Attempt &attempt)
    {
        const auto &kind = m_pattern.kinds[attempt.kind];
        auto &tally = m_tallies[attempt.kind];
        const auto took = m_clock.now() - attempt.firstAttempt;
        if (took > kind.deadline) {
            return;
        }
        ++tally.served;
        tally.inTime += took <= kind.targetLatency ? 1 : 0;
        tally.value += took <= kind.targetLatency ? 1 : kind.lateValue;
        tally.latency += took;
    }

    void recordRefusal(const Attempt &attempt, TimePoint arrivedAt, Duration retryAfter)
    {
        auto &tally = m_tallies[attempt.kind];
        ++tally.refusals;
        tally.refusedWait += m_clock.now() - arrivedAt;
        if (attempt.retries >= m_pattern.retries) {
            return;
        }
        const auto left = attempt.firstAttempt + m_pattern.kinds[attempt.kind].deadline - m_clock.now();
        const auto delay = std::min<Duration>(left / 3, std::max<Duration>(retryAfter, milliseconds(50)));
        m_pendingRetries.emplace(m_clock.now() + delay,
                                 Attempt{ attempt.kind, attempt.firstAttempt, attempt.serviceTime, attempt.retries + 1 });
    }

    void submitRetries()
    {
        while (!m_pendingRetries.empty() && m_pendingRetries.begin()->first <= m_clock.now()) {
            const auto attempt = m_pendingRetries.begin()->second;
            m_pendingRetries.erase(m_pendingRetries.begin());
            submit(attempt);
        }
    }

    void finishWork()
    {
        std::vector<std::uint64_t> finished;
        for (const auto &[id, running] : m_backend.m_running) {
            auto &left = m_work.at(running.first.requestId);
            left -= Seconds(0.001 / m_slowness);
            if (left <= Seconds::zero()) {
                finished.push_back(id);
            }
        }
        for (const auto id : finished) {
            auto node = m_backend.m_running.extract(id);
            CallResult result;
            result.outcome = wire::ANSWERED;
            result.reachedBackend = true;
            result.slownessPercent = 100 * m_slowness;
            node.mapped().second(std::move(result));
        }
    }

    ManualClock m_clock;
    NullLogger m_logger;
    FakeBackendStatus m_backendStatus;
    FakeBackend m_backend;
    BackendAdmission m_admission;
    SeededRandom m_arrivals; ///< Draws arrivals and service times, the same for all policies.
    SeededRandom m_speeds;
    double m_slowness = 1;
    LoadPattern m_pattern;
    std::vector<KindTally> m_tallies;
    std::multimap<TimePoint, Attempt> m_pendingRetries;
    std::map<std::string, Seconds> m_work; ///< Work left of each call, in time at the usual speed.
    int m_calls = 0;
    std::size_t m_mostRunning = 0;
};

Kind clients(double slots, std::uint32_t rank = 1)
{
    Kind it;
    it.slots = slots;
    it.rank = rank;
    return it;
}

Kind patientClients(double slots)
{
    auto it = clients(slots);
    it.serviceTime = milliseconds(240);
    it.targetLatency = milliseconds(600);
    it.deadline = milliseconds(4000);
    it.lateValue = 0.5;
    return it;
}

Kind clientsOf(const std::string &entry, double slots)
{
    auto it = clients(slots);
    it.entry = entry;
    return it;
}

Kind nestedCalls(double slots)
{
    Kind it;
    it.slots = slots;
    it.serviceTime = milliseconds(35);
    it.targetLatency = milliseconds(150);
    it.deadline = milliseconds(400);
    it.nested = true;
    return it;
}

/// Plays the pattern with several seeds. @return the sums, by kind.
std::vector<KindTally> play(AdmissionPolicy policy, const LoadPattern &pattern)
{
    std::vector<KindTally> sums(pattern.kinds.size());
    for (std::uint32_t seed = 1; seed <= 4; ++seed) {
        const auto tallies = OverloadModel(policy, seed).play(pattern);
        for (std::size_t i = 0; i < sums.size(); ++i) {
            sums[i].add(tallies[i]);
        }
    }
    return sums;
}

double valueOf(const std::vector<KindTally> &tallies)
{
    double sum = 0;
    for (const auto &it : tallies) {
        sum += it.value;
    }
    return sum;
}

/// Records the results in the test's report.
void record(const std::string &name, const std::vector<KindTally> &tallies)
{
    for (std::size_t i = 0; i < tallies.size(); ++i) {
        const auto &it = tallies[i];
        testing::Test::RecordProperty(
            fmt::format("{}_{}", name, i),
            fmt::format("requests {}, served {:.3f}, in time {:.3f}, value {:.0f}, latency {:.0f} ms, refusals {}, "
                        "refused after {:.0f} ms",
                        it.requests,
                        it.servedShare(),
                        it.inTimeShare(),
                        it.value,
                        it.meanLatency().count() * 1000,
                        it.refusals,
                        it.meanRefusedWait().count() * 1000));
    }
}

struct Comparison
{
    std::vector<KindTally> ours;
    std::vector<KindTally> naive;
};

Comparison compare(const LoadPattern &pattern)
{
    Comparison it{ play(AdmissionPolicy::ServeLate, pattern), play(AdmissionPolicy::RefuseLate, pattern) };
    record("serve_late", it.ours);
    record("refuse_late", it.naive);
    return it;
}

} // namespace

// Load: demand rises and falls by 0.55 and reaches the capacity at its peak only.
// Failure: calls that miss their target are refused though slots are free a moment later.
TEST(AdmissionUnderOverload, AWaveThatReachesTheCapacityIsServed)
{
    const auto [ours, naive] = compare({ { clients(OverloadModel::kSlots / 1.55) }, 0.55 });
    EXPECT_GE(valueOf(ours), valueOf(naive));
    EXPECT_GE(ours[0].served, naive[0].served);
}

// Load: the peak of the wave exceeds the capacity by a fifth for some seconds.
TEST(AdmissionUnderOverload, AWaveAboveTheCapacityEarnsMoreThanWithRefusals)
{
    const auto [ours, naive] = compare({ { clients(1.2 * OverloadModel::kSlots / 1.55) }, 0.55 });
    EXPECT_GT(valueOf(ours), valueOf(naive));
}

// Load: the same with clients that wait seven times their latency target.
// Failure: requests are refused though their clients wait until the peak has passed.
TEST(AdmissionUnderOverload, PatientClientsAreServedAfterAPeak)
{
    const auto [ours, naive] = compare({ { patientClients(1.2 * OverloadModel::kSlots / 1.55) }, 0.55 });
    EXPECT_GT(valueOf(ours), valueOf(naive));
    EXPECT_GT(ours[0].served, naive[0].served);
}

// Load: the backend server becomes three times slower for a fifth of the time, in periods of 250 ms.
// Failure: calls are refused in a slow period as if it lasted.
TEST(AdmissionUnderOverload, CallsWaitForTheEndOfASlowPeriod)
{
    const auto [ours, naive] = compare({ { clients(0.6 * OverloadModel::kSlots) }, 0, 0, 0.2 });
    EXPECT_GT(valueOf(ours), valueOf(naive));
    EXPECT_GT(ours[0].served, naive[0].served);
}

// Load: nested calls in waves that exceed the slots for a short time.
// Failure: nested calls that could still meet their deadline are refused, and the work of their parents is lost.
TEST(AdmissionUnderOverload, NestedCallsOutlastAShortPeak)
{
    const auto [ours, naive] = compare({ { clients(0.2 * OverloadModel::kSlots), nestedCalls(0.5 * OverloadModel::kSlots) }, 0.4, 0, 0.2 });
    EXPECT_GT(ours[1].served, naive[1].served);
    EXPECT_GE(ours[0].servedShare(), 0.98 * naive[0].servedShare());
}

// Load: lasting overload at 1.5 times the capacity.
// Failure: late calls that others overtake are held until their deadline and dropped, or take the slots of calls in time.
TEST(AdmissionUnderOverload, ALastingOverloadHoldsNoCallUntilItsDeadline)
{
    const auto [ours, naive] = compare({ { clients(1.5 * OverloadModel::kSlots) } });
    EXPECT_GE(valueOf(ours), valueOf(naive));
    EXPECT_LT(ours[0].meanRefusedWait(), milliseconds(500)); // Half of the deadline.
    EXPECT_GT(ours[0].inTime, 0.9 * ours[0].served);
}

// Load: the same with clients that wait seven times their latency target.
TEST(AdmissionUnderOverload, ALastingOverloadHoldsNoPatientClientUntilItsDeadline)
{
    const auto [ours, naive] = compare({ { patientClients(1.5 * OverloadModel::kSlots) } });
    EXPECT_GE(valueOf(ours), valueOf(naive));
    EXPECT_LT(ours[0].meanRefusedWait(), milliseconds(2000)); // Half of the deadline.
}

// Load: nested calls and requests of clients need more than all slots together.
// Failure: a refused nested call wastes the work of its parent; nested calls alone may not take all slots either.
TEST(AdmissionUnderOverload, NestedCallsAreServedAndClientsKeepTheirGuarantee)
{
    const auto [ours, naive] = compare({ { clients(0.7 * OverloadModel::kSlots), nestedCalls(0.5 * OverloadModel::kSlots) } });
    EXPECT_GE(ours[1].servedShare(), naive[1].servedShare());
    EXPECT_GE(valueOf(ours), valueOf(naive));
    const double guaranteed = 0.5 / 0.7;
    EXPECT_GT(ours[0].servedShare(), 0.9 * guaranteed);
}

// Load: ranks that need more than all slots together.
TEST(AdmissionUnderOverload, NoKindIsServedLessThanALessUrgentOne)
{
    const auto third = 0.5 * OverloadModel::kSlots;
    const auto [ours, naive] = compare({ { clients(third, 0), clients(third, 1), clients(third, 2) } });
    EXPECT_GE(valueOf(ours), valueOf(naive));
    for (std::size_t i = 1; i < ours.size(); ++i) {
        EXPECT_GE(ours[i - 1].servedShare(), ours[i].servedShare());
        EXPECT_GE(ours[i - 1].inTimeShare(), ours[i].inTimeShare());
    }
}

// Load: the clients of one entry send twice the capacity, those of another a fifth of it.
// Failure: the entry that stays within its share is refused as often as the one that bursts.
TEST(AdmissionUnderOverload, AnEntryWithinItsShareIsNotRefusedForTheBurstOfAnother)
{
    const auto [ours, naive]
        = compare({ { clientsOf("10.0.0.1", 2.0 * OverloadModel::kSlots), clientsOf("10.0.0.2", 0.2 * OverloadModel::kSlots) } });
    EXPECT_GT(ours[1].inTimeShare(), 0.95);
    EXPECT_GT(ours[1].inTimeShare(), naive[1].inTimeShare());
    EXPECT_GE(valueOf(ours), 0.95 * valueOf(naive));
}

// Load: callers repeat refused calls three times and obey the delay of the refusal.
// Failure: repeated calls take slots from calls in time, so that the overload feeds itself.
TEST(AdmissionUnderOverload, CallersThatRepeatThreeTimesDoNotMakeAnswersLate)
{
    const LoadPattern once{ { clients(1.2 * OverloadModel::kSlots) } };
    auto repeated = once;
    repeated.retries = 3;
    const auto [ours, naive] = compare(repeated);
    EXPECT_GE(valueOf(ours), valueOf(naive));
    EXPECT_GT(valueOf(ours), 0.95 * valueOf(play(AdmissionPolicy::ServeLate, once)));
}

// Cost of the policy under ordinary load: none, for latency and for answers in time.
TEST(AdmissionUnderOverload, AnOrdinaryLoadIsServedAsBefore)
{
    const auto entries = 0.3 * OverloadModel::kSlots;
    const auto [ours, naive]
        = compare({ { clientsOf("10.0.0.1", entries), clientsOf("10.0.0.2", entries), nestedCalls(0.1 * OverloadModel::kSlots) } });
    for (std::size_t i = 0; i < ours.size(); ++i) {
        EXPECT_LE(ours[i].meanLatency(), 1.01 * naive[i].meanLatency());
        EXPECT_GE(ours[i].inTimeShare(), naive[i].inTimeShare() - 0.002);
        EXPECT_GE(ours[i].servedShare(), naive[i].servedShare());
    }
}
