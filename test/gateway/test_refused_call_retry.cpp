// Guards against requests whose work is lost because one of their nested calls met busy backend servers and was not tried again.
#include "gateway/refused_call_retry.h"

#include "virtual_load.h"

#include <gtest/gtest.h>
#include <iostream>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds kDeadline{ 400 };
constexpr milliseconds kWork{ 35 };
constexpr std::uint32_t kSlots = 9;
constexpr std::size_t kServers = 6;
constexpr double kCallsPerSecond = kServers * kSlots / 0.035 / 1.4; ///< Capacity; 1.4 is the mean slowness.
constexpr double kNestedPerSecond = 0.6 * kCallsPerSecond;
constexpr double kClientsPerSecond = 0.35 * kCallsPerSecond;
constexpr milliseconds kWavePeriod{ 1000 };

/// Load: nested calls with a short deadline to a small service that is nearly full, beside requests of clients. Demand exceeds capacity for
/// half a second at a time. The backend servers turn three times slower for a fifth of the time, several times a second, so the
/// queues that refuse a call are short again a moment later.
class NestedCallLoad
{
public:
    explicit NestedCallLoad(bool retries)
        : m_retries(retries)
    {
        for (std::size_t i = 0; i < kServers; ++i) {
            m_servers.push_back(std::make_unique<SimulatedServer>(
                m_clock, m_logger, kSlots, [this](const Call &, double slowness, const std::function<void(int)> &done) {
                    const auto work = std::chrono::duration_cast<Duration>(kWork * slowness * (0.5 + m_random.unit()));
                    m_agenda.after(work, [done] { done(200); });
                }));
            changeSpeed(*m_servers.back());
        }
        processQueues();
        sendNext();
        sendNextOfClients();
    }

    void run()
    {
        m_agenda.runFor(seconds(20));
    }

    int m_requests = 0;
    int m_served = 0; ///< Requests whose nested call was answered before its deadline.
    int m_attempts = 0;

private:
    struct NestedCall
    {
        Call call;
        std::uint32_t rounds = 1;
    };

    using NestedCallPtr = std::shared_ptr<NestedCall>;

    void changeSpeed(SimulatedServer &server)
    {
        server.m_slowness = m_random.unit() < 0.2 ? 3 : 1;
        const auto period = milliseconds(100 + m_random.below(200));
        m_agenda.after(period, [this, &server] { changeSpeed(server); });
    }

    void processQueues()
    {
        for (const auto &it : m_servers) {
            it->m_admission.processQueue();
        }
        m_agenda.after(milliseconds(20), [this] { processQueues(); });
    }

    /// Demand relative to the mean over a wave.
    double wave() const
    {
        const auto phase = (m_clock.now().time_since_epoch() / milliseconds(1)) % kWavePeriod.count();
        return phase < kWavePeriod.count() / 2 ? 1.6 : 0.4;
    }

    void sendNext()
    {
        const auto pause = std::chrono::duration<double>(2 * m_random.unit() / (kNestedPerSecond * wave()));
        m_agenda.after(std::chrono::duration_cast<Duration>(pause), [this] {
            ++m_requests;
            const auto it = std::make_shared<NestedCall>();
            it->call = callNamed(std::to_string(m_requests), m_clock);
            it->call.deadline = m_clock.now() + kDeadline;
            it->call.nested = true;
            startRound(it);
            sendNext();
        });
    }

    void sendNextOfClients()
    {
        const auto pause = std::chrono::duration<double>(2 * m_random.unit() / (kClientsPerSecond * wave()));
        m_agenda.after(std::chrono::duration_cast<Duration>(pause), [this] {
            m_servers[m_random.below(kServers)]->m_admission.submit(callNamed("client", m_clock), [](const CallResult &) {});
            sendNextOfClients();
        });
    }

    void startRound(const NestedCallPtr &it)
    {
        std::vector<SimulatedServer *> servers;
        for (const auto &server : m_servers) {
            servers.insert(servers.begin() + static_cast<std::ptrdiff_t>(m_random.below(servers.size() + 1)), server.get());
        }
        servers.resize(maxGatewaysTried(it->rounds));
        attempt(it, std::move(servers));
    }

    void attempt(const NestedCallPtr &it, std::vector<SimulatedServer *> servers)
    {
        ++m_attempts;
        auto *server = servers.back();
        servers.pop_back();
        server->m_admission.submit(it->call, [this, it, servers](const CallResult &result) {
            if (result.outcome == wire::ANSWERED) {
                m_served += m_clock.now() <= it->call.deadline ? 1 : 0;
            } else if (!servers.empty()) {
                m_agenda.after(milliseconds(3), [this, it, servers] { attempt(it, servers); });
            } else if (m_retries) {
                retry(it);
            }
        });
    }

    void retry(const NestedCallPtr &it)
    {
        const auto pause = pauseBeforeRetry({ it->rounds, it->call.deadline - m_clock.now(), kWork }, m_random);
        if (pause) {
            ++it->rounds;
            m_agenda.after(*pause, [this, it] { startRound(it); });
        }
    }

    bool m_retries;
    ManualClock m_clock;
    NullLogger m_logger;
    SeededRandom m_random{ 11 };
    Agenda m_agenda{ m_clock };
    std::vector<std::unique_ptr<SimulatedServer>> m_servers;
};

} // namespace

TEST(RefusedCallRetryTest, LosesFewerRequestsWhoseNestedCallsGoToAServiceThatIsNearlyFull)
{
    NestedCallLoad without(false);
    without.run();
    NestedCallLoad with(true);
    with.run();
    const double lostWithout = 1 - static_cast<double>(without.m_served) / without.m_requests;
    const double lostWith = 1 - static_cast<double>(with.m_served) / with.m_requests;
    std::cout << "lost without retries " << lostWithout << ", with " << lostWith << "; attempts " << without.m_attempts << ", "
              << with.m_attempts << "\n";
    EXPECT_LT(lostWith, lostWithout / 2);
}

TEST(RefusedCallRetryTest, EndsAfterThreeRounds)
{
    SeededRandom random(1);
    EXPECT_TRUE(pauseBeforeRetry({ 2, kDeadline, kWork }, random));
    EXPECT_FALSE(pauseBeforeRetry({ 3, kDeadline, kWork }, random));
    EXPECT_EQ(maxGatewaysTried(1), 4U);
    EXPECT_LE(maxGatewaysTried(2), 4U);
}

TEST(RefusedCallRetryTest, EndsWhenNoTimeIsLeftToRun)
{
    SeededRandom random(1);
    EXPECT_FALSE(pauseBeforeRetry({ 1, kWork + milliseconds(20), kWork }, random));
    EXPECT_FALSE(pauseBeforeRetry({ 1, milliseconds(-50), kWork }, random));
    EXPECT_FALSE(pauseBeforeRetry({ 1, milliseconds(20), {} }, random));
}

// Failure: calls that were refused together came back together.
TEST(RefusedCallRetryTest, PausesDifferAndLeaveTimeToRun)
{
    SeededRandom random(1);
    std::set<Duration> pauses;
    for (int i = 0; i < 100; ++i) {
        const auto pause = pauseBeforeRetry({ 1, kDeadline, kWork }, random).value();
        EXPECT_GE(pause, milliseconds(5));
        EXPECT_LE(pause, kDeadline - kWork);
        pauses.insert(pause);
    }
    EXPECT_GT(pauses.size(), 90U);
    EXPECT_GT(*pauses.rbegin(), 2 * *pauses.begin());
}
