#include "case.h"
#include "memory_limit.h"

using namespace Review;

namespace
{

constexpr std::size_t kBodyBytes = 60U << 20U; ///< The manifest permits 64 MiB.
constexpr std::size_t kSmallBytes = 1U << 10U;
constexpr std::size_t kUploadsAtOnce = 4; ///< For each service, each through a gateway of its own.
constexpr int kRounds = 3;
constexpr unsigned kMemoryMb = 260; ///< Of a sidecar machine of the site.
constexpr std::size_t kCrowdedGateways = 2; ///< Those beside the instances that the uploads go to.
constexpr Milliseconds kUploadLimit{ 8000 };
constexpr Milliseconds kReadyLimit{ 10000 };
constexpr Milliseconds kSettleTime{ 3000 };

void upload(const Address &address, const std::string &id, const std::string &host, std::size_t bytes, Record &record)
{
    const auto answer = exchange(address,
                                 "POST /x/batch HTTP/1.1\r\nHost: " + host + "\r\nX-Toucandeck-Request-Id: " + id
                                     + "\r\nX-Toucandeck-Deadline-Ms: 8000\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
                                     + std::string(bytes, 'x'),
                                 kUploadLimit);
    record.write("client sends " + id + " with a body of " + std::to_string(bytes)
                 + " bytes: " + (answer ? answer->startLine : "the connection ends without an answer"));
}

void awaitReady(Deployment &deployment)
{
    const auto end = Clock::now() + kReadyLimit;
    for (std::size_t i = 0; i < deployment.gateways(); ++i) {
        while (!deployment.isReady(i) && Clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }
    std::this_thread::sleep_for(kSettleTime); // The instances report again.
}

} // namespace

/// Four clients at four gateways send a body of legal size at the same time, first to the one, then to the other
/// of two services that have one instance each.
int main(int, char **argv)
{
    CaseRun run(argv[1]);
    auto &record = run.record();
    std::vector<std::string> services{ "ledger", "archive" };
    services.resize(kCrowdedGateways + kUploadsAtOnce, "office");
    Deployment deployment(run.deployment(services), record);
    const nlohmann::json manifest{
        { "version", 1 },
        { "baseVersion", 0 },
        { "routes",
          { { "ledger", routeEntry("ledger.example", "unsafe", "ledger", "8000ms") },
            { "archive", routeEntry("archive.example", "unsafe", "archive", "8000ms") } } },
        { "services", { { "office", serviceEntry(false) }, { "ledger", serviceEntry(false) }, { "archive", serviceEntry(false) } } },
        { "limits", limitsEntry() }
    };
    if (!deployment.start(manifest)) {
        return run.finish(kCouldNotRun, "the deployment did not get ready");
    }
    const std::size_t bytes = run.hasTrouble() ? kBodyBytes : kSmallBytes;
    MemoryLimit limit(deployment, record, kMemoryMb);
    for (int round = 0; round < kRounds; ++round) {
        for (const std::string service : { "ledger", "archive" }) {
            awaitReady(deployment);
            std::vector<std::thread> clients;
            for (std::size_t n = 0; n < kUploadsAtOnce; ++n) {
                const auto id = service + "-" + std::to_string(round) + "-" + std::to_string(n);
                const auto address = deployment.outbound(kCrowdedGateways + n);
                clients.emplace_back([=, &record] { upload(address, id, service + ".example", bytes, record); });
            }
            for (auto &it : clients) {
                it.join();
            }
        }
    }
    limit.stop();
    return run.finish(limit.isRuleBroken() ? kBroken : kHeld, limit.verdict());
}
