// The operator moves a route that two services share to one of them, by a weight of 0 for the other. Nothing else happens.

#include "scenario.h"

using namespace Review;

namespace
{

constexpr Milliseconds kTimeout{ 1500 };
constexpr Milliseconds kConfigApply{ 2000 };
constexpr Milliseconds kMargin{ 1000 };
constexpr Milliseconds kRequestInterval{ 10 };
constexpr int kRequestsBefore = 106; ///< At each gateway. Four of ten such numbers show nothing, or little.
constexpr int kRequestsAfter = 60; ///< At each gateway.
constexpr const char *kHost = "catalogue";

std::string manifest(int version, int baseVersion, int oldWeight, int newWeight)
{
    const auto split = "[{\"service\":\"old\",\"weight\":" + std::to_string(oldWeight)
        + "},{\"service\":\"new\",\"weight\":" + std::to_string(newWeight) + "}]";
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":{\"r-split\":{\"host\":\"catalogue.example\",\"pathPrefix\":\"/safe/\",\"routeType\":\"safe\",\"timeout\":\"1500ms\""
          ",\"targetLatency\":\"1500ms\",\"priority\":1,\"weightedSplit\":"
        + split + ",\"maxAttempts\":2}},\"services\":{" + serviceItem("old") + "," + serviceItem("new") + "," + serviceItem("front") + "}"
        + manifestEnd(baseVersion);
}

/// Sends requests one after the other and returns how many were answered with success.
int sendRequests(const Address &entry, const std::string &prefix, int count)
{
    int served = 0;
    for (int i = 0; i < count; ++i) {
        const auto id = prefix + "-" + std::to_string(i);
        const auto answer = call(entry, requestText("GET", "/safe/mark", clientHeaders(kHost, id, kTimeout), {}), kTimeout);
        served += answer && answer->status() == 200 ? 1 : 0;
        std::this_thread::sleep_for(kRequestInterval);
    }
    return served;
}

int countRuns(const std::vector<std::unique_ptr<Instance>> &instances, std::size_t first, std::size_t last, const std::string &prefix)
{
    int n = 0;
    for (auto i = first; i <= last; ++i) {
        for (const auto &it : instances[i]->runs()) {
            n += it.requestId.starts_with(prefix) ? 1 : 0;
        }
    }
    return n;
}

Verdict play(const Scenario &scenario)
{
    auto &recorder = scenario.recorder;
    Deployment deployment(recorder,
                          { { "old", "zone-0" },
                            { "old", "zone-1" },
                            { "new", "zone-2" },
                            { "new", "zone-3" },
                            { "front", "zone-0" },
                            { "front", "zone-1" } });
    std::vector<std::unique_ptr<Instance>> instances;
    for (const auto &it : deployment.gateways()) {
        instances.push_back(std::make_unique<Instance>(it, recorder, Milliseconds(5)));
    }
    // With TROUBLE=0 the route has its final weights from the start.
    const auto first = scenario.trouble ? manifest(3, 0, 900, 100) : manifest(3, 0, 0, 1);
    if (!bringUp(deployment, instances, first)) {
        return Verdict::NotRun;
    }
    const auto &vms = deployment.gateways();
    const std::size_t entries[] = { 4, 5 };
    for (const auto it : entries) {
        sendRequests(vms[it].outbound, "before-" + std::to_string(it), kRequestsBefore);
    }
    if (scenario.trouble) {
        recorder.write("the weights change from 900 and 100 to 0 and 1");
        if (!deployment.putDocument(manifest(8, 3, 0, 1))) {
            return Verdict::NotRun;
        }
    }
    std::this_thread::sleep_for(kConfigApply + kMargin);
    int served = 0;
    for (const auto it : entries) {
        served += sendRequests(vms[it].outbound, "after-" + std::to_string(it), kRequestsAfter);
    }
    const int atOld = countRuns(instances, 0, 1, "after-");
    const int atNew = countRuns(instances, 2, 3, "after-");
    recorder.write("of the requests sent more than 3 s after the confirmation, " + std::to_string(atOld)
                   + " ran at the service of weight 0 and " + std::to_string(atNew) + " at the other; " + std::to_string(served)
                   + " were answered with success");
    if (served == 0) {
        return Verdict::NotRun;
    }
    return atOld > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScenario(argc, argv, play);
}
