#include "trial.h"

using namespace Review;

namespace
{

constexpr Milliseconds kHoldAtLeast{ 500 }; ///< Two instances may not hold the same keys for longer than this.
constexpr Milliseconds kSample{ 5 };
constexpr Milliseconds kObserve{ 8000 };
constexpr Milliseconds kAssignLimit{ 15000 };
constexpr std::uint64_t kKeyCount = 65536;

/// The heartbeats of the other writer come between those of the instance, and the gateway is killed when it has answered the instance.
constexpr Milliseconds kWriterAfterInstance{ 1150 };
constexpr Milliseconds kKillAfterInstance{ 850 };

std::int64_t wallMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

bool areAllKeysHeld(Deployment &deployment)
{
    std::uint64_t held = 0;
    for (std::size_t i = 0; i < deployment.gateways(); ++i) {
        for (const auto &row : deployment.instance(i).holds()) {
            held += row[1] - row[0] + 1;
        }
    }
    return held >= kKeyCount;
}

/// Waits for the next heartbeat of the first instance.
void awaitHeartbeat(Deployment &deployment)
{
    const auto before = deployment.instance(0).beats();
    while (deployment.instance(0).beats() == before) {
        std::this_thread::sleep_for(kSample);
    }
}

/// Sends what another writer says, each heartbeat interval.
class OtherWriter
{
public:
    OtherWriter(Deployment &deployment, Record &record)
        : m_deployment(deployment)
        , m_record(record)
        , m_bornMs(wallMs())
        , m_thread([this] { run(); })
    {
    }

    ~OtherWriter()
    {
        m_stopped = true;
        m_thread.join();
    }

    OtherWriter(const OtherWriter &) = delete;
    OtherWriter &operator=(const OtherWriter &) = delete;

private:
    void run()
    {
        for (int n = 1; !m_stopped; ++n) {
            const nlohmann::json body{ { "service", "audit-agent" },
                                       { "address", m_deployment.backend(0).text() },
                                       { "zone", "zone-0" },
                                       { "version", "v3" },
                                       { "slots", 4 },
                                       { "state", "ready" },
                                       { "coldRemaining", "0ms" },
                                       { "seqNum", n },
                                       { "born", m_bornMs } };
            const auto text = body.dump();
            const auto answer = exchange(m_deployment.control(0),
                                         "POST /toucandeck/instances/w-0/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Length: "
                                             + std::to_string(text.size()) + "\r\n\r\n" + text,
                                         Milliseconds(1000));
            m_record.write("another writer sends " + text + ": " + (answer ? answer->startLine + " " + answer->body : "no answer"));
            const auto end = Clock::now() + Milliseconds(1500);
            while (!m_stopped && Clock::now() < end) {
                std::this_thread::sleep_for(kSample);
            }
        }
    }

    Deployment &m_deployment;
    Record &m_record;
    std::int64_t m_bornMs;
    std::atomic<bool> m_stopped{ false };
    std::thread m_thread;
};

/// Watches for two instances that hold the same key.
class Watch
{
public:
    Watch(Deployment &deployment, Record &record)
        : m_deployment(deployment)
        , m_record(record)
    {
    }

    void sample()
    {
        bool overlaps = false;
        for (std::size_t a = 0; a < m_deployment.gateways(); ++a) {
            for (std::size_t b = a + 1; b < m_deployment.gateways(); ++b) {
                overlaps = overlap(a, b) || overlaps;
            }
        }
        if (!overlaps) {
            m_since = {};
            return;
        }
        if (m_since == Clock::time_point()) {
            m_since = Clock::now();
        }
        m_longest = std::max(m_longest, std::chrono::duration_cast<Milliseconds>(Clock::now() - m_since));
    }

    Milliseconds longest() const
    {
        return m_longest;
    }

private:
    bool overlap(std::size_t a, std::size_t b)
    {
        for (const auto &x : m_deployment.instance(a).holds()) {
            for (const auto &y : m_deployment.instance(b).holds()) {
                if (x[0] <= y[1] && y[0] <= x[1]) {
                    if (m_since == Clock::time_point()) {
                        m_record.write("both hold " + std::to_string(std::max(x[0], y[0])) + "-" + std::to_string(std::min(x[1], y[1]))
                                       + ": " + m_deployment.instance(a).id() + " with token " + std::to_string(x[2]) + ", "
                                       + m_deployment.instance(b).id() + " with token " + std::to_string(y[2]));
                    }
                    return true;
                }
            }
        }
        return false;
    }

    Deployment &m_deployment;
    Record &m_record;
    Clock::time_point m_since;
    Milliseconds m_longest{ 0 };
};

} // namespace

/// The gateway beside an instance is killed and starts again, and the first heartbeat that it gets is one of another writer, with a
/// service that the manifest does not name.
int main(int, char **argv)
{
    CaseRun run(argv[1]);
    auto &record = run.record();
    Deployment deployment(run.deployment({ "catalogue", "catalogue", "catalogue" }), record);
    const nlohmann::json manifest{ { "version", 1 },
                                   { "baseVersion", 0 },
                                   { "routes", { { "read", routeEntry("read.example", "safe", "catalogue", "2000ms") } } },
                                   { "services", { { "catalogue", serviceEntry(true) } } },
                                   { "limits", limitsEntry() } };
    if (!deployment.start(manifest)) {
        return run.finish(kCouldNotRun, "the deployment did not get ready");
    }
    const auto end = Clock::now() + kAssignLimit;
    while (!areAllKeysHeld(deployment) && Clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(50));
    }
    if (!areAllKeysHeld(deployment)) {
        return run.finish(kCouldNotRun, "the keys were not assigned");
    }
    std::unique_ptr<OtherWriter> writer;
    awaitHeartbeat(deployment);
    std::this_thread::sleep_for(kWriterAfterInstance);
    if (run.hasTrouble()) {
        writer = std::make_unique<OtherWriter>(deployment, record);
    }
    awaitHeartbeat(deployment);
    awaitHeartbeat(deployment);
    std::this_thread::sleep_for(kKillAfterInstance);
    if (!deployment.restartGateway(0)) {
        return run.finish(kCouldNotRun, "the gateway did not start again");
    }
    Watch watch(deployment, record);
    const auto stop = Clock::now() + kObserve;
    while (Clock::now() < stop) {
        watch.sample();
        std::this_thread::sleep_for(kSample);
    }
    const auto verdict = "two instances held the same keys for " + std::to_string(watch.longest().count()) + " ms at a stretch";
    return run.finish(watch.longest() > kHoldAtLeast ? kBroken : kHeld, verdict);
}
