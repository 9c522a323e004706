#include "memory_limit.h"
#include "trial.h"

using namespace Review;

namespace
{

constexpr std::size_t kReportBytes = 4000U << 10U;
constexpr std::size_t kReaders = 100; ///< Clients of each of the two gateways that read nothing.
constexpr std::size_t kCrowdedGateways = 2;
constexpr std::size_t kInstances = 4;
constexpr int kRounds = 3;
constexpr unsigned kMemoryMb = 260; ///< Of a sidecar machine of the site.
constexpr Milliseconds kConnectLimit{ 1000 };
constexpr Milliseconds kRound{ 6000 };
constexpr Milliseconds kSettleTime{ 3000 };

} // namespace

/// Crowds of clients ask for answers of some megabytes and do not read them.
int main(int, char **argv)
{
    CaseRun run(argv[1]);
    auto &record = run.record();
    auto options = run.deployment({ "office", "office" });
    options.services.resize(kCrowdedGateways + kInstances, "archive");
    options.reportBytes = kReportBytes;
    Deployment deployment(options, record);
    const nlohmann::json manifest{ { "version", 1 },
                                   { "baseVersion", 0 },
                                   { "routes", { { "read", routeEntry("read.example", "safe", "archive", "5000ms") } } },
                                   { "services", { { "office", serviceEntry(false) }, { "archive", serviceEntry(false) } } },
                                   { "limits", limitsEntry() } };
    if (!deployment.start(manifest)) {
        return run.finish(kCouldNotRun, "the deployment did not get ready");
    }
    MemoryLimit limit(deployment, record, kMemoryMb);
    for (int round = 0; round < kRounds; ++round) {
        std::this_thread::sleep_for(kSettleTime);
        std::vector<Socket> readers;
        for (std::size_t n = 0; n < kReaders * kCrowdedGateways; ++n) {
            const auto id = "r" + std::to_string(round) + "-" + std::to_string(n);
            readers.push_back(Socket::connect(deployment.outbound(n % kCrowdedGateways), kConnectLimit));
            readers.back().send("GET /x/report HTTP/1.1\r\nHost: read.example\r\nX-Toucandeck-Request-Id: " + id
                                    + "\r\nX-Toucandeck-Deadline-Ms: 5000\r\n\r\n",
                                kConnectLimit);
        }
        record.write(std::to_string(readers.size()) + " clients have sent a request for " + std::to_string(kReportBytes) + " bytes");
        const auto end = Clock::now() + kRound;
        while (Clock::now() < end) {
            for (auto &it : readers) {
                std::string data;
                while (!run.hasTrouble() && it.isOpen() && it.receive(data, Milliseconds(0))) { }
            }
            std::this_thread::sleep_for(Milliseconds(10));
        }
    }
    limit.stop();
    return run.finish(limit.isRuleBroken() ? kBroken : kHeld, limit.verdict());
}
