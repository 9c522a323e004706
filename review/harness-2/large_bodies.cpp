// Clients of several machines send one body of legal size each, at the same moment, to the one instance of a service. A process that uses
// more memory than its machine has is killed and started again.

#include "scenario.h"

#include <algorithm>
#include <array>
#include <csignal>

using namespace Review;

namespace
{

constexpr Milliseconds kTimeout{ 10'000 };
constexpr std::size_t kBodyBytes = 48'000'000; ///< The manifest allows 67,108,864.
constexpr int kRounds = 3;
constexpr std::size_t kTargets = 2; ///< Services with one instance each.
constexpr std::size_t kClients = 6; ///< At one machine each.
constexpr std::uint64_t kMemoryBytes = Deployment::kMemoryMb << 20U;
constexpr int kEndsOfBrokenMachine = 3;
constexpr Milliseconds kRestartDelay{ 500 };
constexpr Milliseconds kRecoveryTime{ 4000 };

/// The platform's limit on memory: kills what uses more, and starts it again.
class MemoryLimit
{
public:
    MemoryLimit(Deployment &deployment, Recorder &recorder)
        : m_deployment(deployment)
        , m_recorder(recorder)
        , m_ends(deployment.gateways().size(), 0)
        , m_peaks(deployment.gateways().size(), 0)
        , m_thread([this] { watch(); })
    {
    }

    ~MemoryLimit()
    {
        stop();
    }

    MemoryLimit(const MemoryLimit &) = delete;
    MemoryLimit &operator=(const MemoryLimit &) = delete;

    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Number of ends of each gateway. After stop().
    const std::vector<int> &ends() const
    {
        return m_ends;
    }

    /// Largest resident memory of each gateway. After stop().
    const std::vector<std::uint64_t> &peaks() const
    {
        return m_peaks;
    }

private:
    void watch()
    {
        while (!m_stopping) {
            for (std::size_t i = 0; i < m_ends.size(); ++i) {
                check(i);
            }
            std::this_thread::sleep_for(Milliseconds(1));
        }
    }

    void check(std::size_t i)
    {
        auto &process = *m_deployment.gateways()[i].process;
        const auto bytes = process.residentBytes();
        m_peaks[i] = std::max(m_peaks[i], bytes);
        const bool tooLarge = bytes > kMemoryBytes;
        if (!tooLarge && process.isRunning()) {
            return;
        }
        ++m_ends[i];
        m_recorder.write(
            "sidecar-" + std::to_string(i + 1)
            + (tooLarge ? " uses " + std::to_string(bytes >> 20U) + " MB of " + std::to_string(Deployment::kMemoryMb) + " and is killed"
                        : " ended by itself"));
        process.signal(SIGKILL);
        process.waitForEnd(Milliseconds(2000));
        std::this_thread::sleep_for(kRestartDelay);
        process.start();
    }

    Deployment &m_deployment;
    Recorder &m_recorder;
    std::vector<int> m_ends;
    std::vector<std::uint64_t> m_peaks;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

void sendBody(const GatewayVm &vm, Recorder &recorder, const std::string &service, const std::string &requestId)
{
    static const std::string body(kBodyBytes, 'x');
    recorder.write("sent " + requestId + ": POST with " + std::to_string(body.size()) + " bytes to " + service);
    const auto answer
        = call(vm.outbound, requestText("POST", "/unsafe/upload", clientHeaders(service, requestId, kTimeout), body), kTimeout);
    recorder.write("answer to " + requestId + ": " + outcomeText(answer));
}

void playRound(Deployment &deployment, const Scenario &scenario, const std::string &service, const std::string &name)
{
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < kClients; ++i) {
        clients.emplace_back([&deployment, &scenario, &service, requestId = name + "-" + std::to_string(i), i] {
            sendBody(deployment.gateways()[kTargets + i], scenario.recorder, service, requestId);
        });
        if (!scenario.trouble) {
            clients.back().join(); // One after the other.
            clients.pop_back();
        }
    }
    for (auto &it : clients) {
        it.join();
    }
}

Verdict play(const Scenario &scenario)
{
    auto &recorder = scenario.recorder;
    static const std::array<std::string, kTargets> kServices{ "archive", "intake" };
    std::vector<std::pair<std::string, std::string>> vms{ { kServices[0], "zone-0" }, { kServices[1], "zone-1" } };
    for (std::size_t i = 0; i < kClients; ++i) {
        vms.emplace_back("front", "zone-" + std::to_string(i % 4));
    }
    Deployment deployment(recorder, vms);
    std::vector<std::unique_ptr<Instance>> instances;
    for (const auto &it : deployment.gateways()) {
        instances.push_back(std::make_unique<Instance>(it, recorder, Milliseconds(50)));
    }
    if (!bringUp(deployment, instances, { { kServices[0], kTimeout }, { kServices[1], kTimeout }, { "front", kTimeout } })) {
        return Verdict::NotRun;
    }
    MemoryLimit limit(deployment, recorder);
    for (int round = 0; round < kRounds; ++round) {
        for (const auto &service : kServices) {
            playRound(deployment, scenario, service, service + "-" + std::to_string(round));
        }
        std::this_thread::sleep_for(kRecoveryTime);
    }
    limit.stop();
    int machines = 0;
    for (std::size_t i = 0; i < limit.ends().size(); ++i) {
        recorder.write("sidecar-" + std::to_string(i + 1) + ": " + std::to_string(limit.ends()[i]) + " ends, peak "
                       + std::to_string(limit.peaks()[i] >> 20U) + " MB");
        machines += limit.ends()[i] >= kEndsOfBrokenMachine ? 1 : 0;
    }
    recorder.write(std::to_string(machines) + " of 13 machines had three ends of their own");
    return machines >= 2 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScenario(argc, argv, play);
}
