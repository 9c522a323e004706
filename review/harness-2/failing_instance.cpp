// One instance fails each second request with 503 after it has worked on it, while its health check is good. A 503 tells a client that its
// request has not run, so the client sends it again.

#include "scenario.h"

#include <map>

using namespace Review;

namespace
{

constexpr Milliseconds kTimeout{ 1500 };
constexpr Milliseconds kWork{ 400 };
constexpr Milliseconds kRequestInterval{ 10 };
constexpr Milliseconds kRetryPause{ 100 };
constexpr int kRequests = 400;
constexpr int kInstances = 7;
constexpr const char *kService = "hints";

/// One purchase of a client: its attempts with their status codes.
struct Purchase
{
    std::map<std::string, int> attempts;
};

/// Sends a purchase, and once more under a new id if the answer promises that it has not run.
Purchase buy(const Address &entry, const std::string &name)
{
    Purchase purchase;
    for (int attempt = 1; attempt <= 2; ++attempt) {
        const auto id = name + "-" + std::to_string(attempt);
        const auto request = requestText("PUT", "/unsafe/hint", clientHeaders(kService, id, kTimeout), name);
        const auto answer = call(entry, request, kTimeout);
        purchase.attempts[id] = answer ? answer->status() : 0;
        if (!answer || answer->status() != 503) {
            break;
        }
        std::this_thread::sleep_for(kRetryPause);
    }
    return purchase;
}

Verdict play(const Scenario &scenario)
{
    auto &recorder = scenario.recorder;
    std::vector<std::pair<std::string, std::string>> vms;
    vms.reserve(kInstances + 1);
    for (int i = 0; i < kInstances; ++i) {
        vms.emplace_back(kService, "zone-" + std::to_string(i % 4));
    }
    vms.emplace_back("front", "zone-0");
    Deployment deployment(recorder, vms);
    std::vector<std::unique_ptr<Instance>> instances;
    for (const auto &it : deployment.gateways()) {
        instances.push_back(std::make_unique<Instance>(it, recorder, kWork));
    }
    if (!bringUp(deployment, instances, { { kService, kTimeout }, { "front", kTimeout } })) {
        return Verdict::NotRun;
    }
    if (scenario.trouble) {
        instances.front()->startFailing();
    }
    const auto entry = deployment.gateways().back().outbound;
    std::vector<Purchase> purchases(kRequests);
    std::vector<std::thread> clients;
    for (int i = 0; i < kRequests; ++i) {
        clients.emplace_back([&, i] { purchases[static_cast<std::size_t>(i)] = buy(entry, "hint-" + std::to_string(i)); });
        std::this_thread::sleep_for(kRequestInterval);
    }
    for (auto &it : clients) {
        it.join();
    }
    std::map<std::string, std::string> runs; ///< Instance by request.
    for (const auto &instance : instances) {
        for (const auto &it : instance->runs()) {
            runs[it.requestId] = instance->id();
        }
    }
    int falsePromises = 0;
    int doubled = 0;
    for (const auto &purchase : purchases) {
        std::size_t ran = 0;
        for (const auto &[id, status] : purchase.attempts) {
            recorder.write(id + ": " + std::to_string(status) + (runs.contains(id) ? ", ran at " + runs[id] : ", did not run"));
            ran += runs.contains(id) ? 1 : 0;
            falsePromises += status == 503 && runs.contains(id) ? 1 : 0;
        }
        doubled += ran > 1 ? 1 : 0;
    }
    recorder.write(std::to_string(falsePromises) + " requests were answered 503 and had run; " + std::to_string(doubled)
                   + " purchases ran twice, because the client relied on that");
    return falsePromises > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScenario(argc, argv, play);
}
