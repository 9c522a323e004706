// Guards the decisions of the policy that serves late calls, one by one: refusals for another backend server, reported waits, delays of
// repeated calls, shares of entries, and the cost of a long queue.
#include "fakes.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

/// Counts the comparisons.
class CountingOrder : public FairUrgencyOrder
{
public:
    bool precedes(const WaitingCall &a, const WaitingCall &b, TimePoint now) const override
    {
        ++m_comparisons;
        return FairUrgencyOrder::precedes(a, b, now);
    }

    mutable std::size_t m_comparisons = 0;
};

class ServeLateTest : public testing::Test
{
protected:
    std::uint64_t submit(Call call)
    {
        const auto name = call.requestId;
        return m_admission.submit(std::move(call), [this, name](CallResult result) { m_results[name] = std::move(result); });
    }

    Call nestedCall(const std::string &id)
    {
        auto call = callNamed(id, m_clock);
        call.nested = true;
        call.targetTime = m_clock.now() + milliseconds(100);
        call.deadline = m_clock.now() + milliseconds(1000);
        return call;
    }

    /// Submits nested calls that need 400 ms on the two slots.
    void submitNestedBurst(BackendAdmission &admission)
    {
        for (int i = 0; i < 10; ++i) {
            const auto name = std::to_string(i);
            admission.submit(nestedCall(name), [this, name](CallResult result) { m_results[name] = std::move(result); });
        }
    }

    Call callFrom(const std::string &id, const std::string &entry)
    {
        auto call = callNamed(id, m_clock);
        call.entry = entry;
        return call;
    }

    ManualClock m_clock;
    NullLogger m_logger;
    FakeBackendStatus m_backendStatus;
    FakeBackend m_backend;
    CountingOrder m_order;
    BackendAdmission m_admission{ m_clock, m_logger, m_backendStatus, m_backend, m_order, AdmissionPolicy::ServeLate };
    std::map<std::string, CallResult> m_results;
};

} // namespace

// Failure: a call waits here although its entry knows a backend server that runs it sooner.
TEST_F(ServeLateTest, RefusesACallThatWouldWaitLongerThanItsEntryAccepts)
{
    for (int i = 0; i < 6; ++i) {
        submit(callNamed(std::to_string(i), m_clock));
    }
    auto limited = callNamed("limited", m_clock);
    limited.maxWait = milliseconds(50); // Four calls of 80 ms each wait for two slots.
    submit(limited);
    EXPECT_EQ(m_results.at("limited").outcome, wire::NOT_RUN);
    EXPECT_EQ(m_results.at("limited").reason, wire::BUSY);
    auto patient = callNamed("patient", m_clock);
    patient.maxWait = milliseconds(500);
    submit(patient);
    EXPECT_EQ(m_results.count("patient"), 0U);
}

// Failure: entries take a backend server with a queue for a free one.
TEST_F(ServeLateTest, ReportsTheWaitOfACallThatArrivesNow)
{
    EXPECT_EQ(m_admission.loadReport().wait_us(), 0U);
    for (int i = 0; i < 6; ++i) {
        submit(callNamed(std::to_string(i), m_clock));
    }
    EXPECT_GE(m_admission.loadReport().wait_us(), 100'000U);
}

// Failure: a nested call that would miss its latency target was refused, and the work of its parent lost.
TEST_F(ServeLateTest, ANestedCallThatMissesItsTargetWaitsForItsDeadline)
{
    submitNestedBurst(m_admission);
    EXPECT_TRUE(m_results.empty());
    auto hopeless = nestedCall("hopeless");
    hopeless.deadline = m_clock.now() + milliseconds(300);
    submit(hopeless);
    EXPECT_EQ(m_results.at("hopeless").reason, wire::OVERLOADED);
}

// Failure: deployments that did not choose the policy get its decisions.
TEST_F(ServeLateTest, TheDefaultPolicyRefusesNestedCallsThatMissTheirTarget)
{
    const UrgencyOrder order;
    BackendAdmission byDefault(m_clock, m_logger, m_backendStatus, m_backend, order);
    submitNestedBurst(byDefault);
    EXPECT_FALSE(m_results.empty());
    EXPECT_EQ(byDefault.loadReport().wait_us(), 0U);
}

// Failure: clients that were refused one after the other are all told to come back at the same time.
TEST_F(ServeLateTest, LaterRefusalsGetLongerDelays)
{
    for (int i = 0; i < 4; ++i) {
        submit(callNamed(std::to_string(i), m_clock));
    }
    for (const auto *id : { "first", "second" }) {
        auto call = callNamed(id, m_clock);
        call.targetTime = m_clock.now();
        call.deadline = m_clock.now() + milliseconds(150);
        submit(call);
        ASSERT_EQ(m_results.at(id).outcome, wire::NOT_RUN);
    }
    EXPECT_GT(m_results.at("second").retryAfter, m_results.at("first").retryAfter);
}

// Failure: a call of an entry with one call waits behind the whole burst of another.
TEST_F(ServeLateTest, EntriesTakeTurns)
{
    for (int i = 0; i < 8; ++i) {
        submit(callFrom("burst-" + std::to_string(i), "10.0.0.1"));
    }
    submit(callFrom("single", "10.0.0.2"));
    m_backend.answerFirst();
    m_backend.answerFirst();
    EXPECT_NE(std::find(m_backend.m_sentRequests.begin(), m_backend.m_sentRequests.end(), "single"), m_backend.m_sentRequests.end());
}

// Failure: an entry is charged for calls that it cancelled, and its later calls wait behind those of others.
TEST_F(ServeLateTest, CancelledCallsDoNotCountAsAShare)
{
    constexpr std::size_t kCancelled = 8;
    std::vector<std::uint64_t> ids;
    ids.reserve(kCancelled);
    submit(callFrom("a", "10.0.0.1"));
    submit(callFrom("b", "10.0.0.1"));
    for (std::size_t i = 0; i < kCancelled; ++i) {
        ids.push_back(submit(callFrom("burst-" + std::to_string(i), "10.0.0.1")));
    }
    submit(callFrom("other-1", "10.0.0.2"));
    submit(callFrom("other-2", "10.0.0.2"));
    for (const auto id : ids) {
        m_admission.cancel(id);
    }
    submit(callFrom("last", "10.0.0.1"));
    m_backend.answerFirst();
    m_backend.answerFirst();
    EXPECT_EQ(m_backend.m_sentRequests, std::vector<std::string>({ "a", "b", "other-1", "last" }));
}

// Load: a queue of 200 calls. Failure: each call costs time that grows with the square of the queue.
TEST_F(ServeLateTest, ACallInALongQueueCostsAFewComparisonsForEachWaitingCall)
{
    constexpr std::size_t kWaiting = 200;
    m_backendStatus.m_slots = 18;
    const auto submitPatient = [this](const std::string &id) {
        auto call = callNamed(id, m_clock);
        call.targetTime = m_clock.now() + std::chrono::seconds(100);
        call.deadline = call.targetTime;
        submit(call);
    };
    for (std::size_t i = 0; i < kWaiting + m_backendStatus.m_slots; ++i) {
        submitPatient(std::to_string(i));
    }
    ASSERT_EQ(m_admission.waitingCount(), kWaiting);
    m_clock.advance(milliseconds(1));
    m_order.m_comparisons = 0;
    submitPatient("one more");
    m_backend.answerFirst();
    EXPECT_LT(m_order.m_comparisons, 10 * kWaiting);
    m_clock.advance(milliseconds(20));
    m_order.m_comparisons = 0;
    m_admission.processQueue();
    EXPECT_LT(m_order.m_comparisons, 20 * kWaiting);
}
