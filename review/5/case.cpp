// A change of the manifest takes a service out of the split of a route and writes the weights on another scale. The gateways go on sending
// the requests of the route to the service that was taken out.
#include "../harness/harness.h"

using namespace Review;

namespace
{

constexpr milliseconds kConfigApply{ 2000 };
constexpr int kRequestsBefore = 6; ///< Through each gateway.
constexpr int kRequestsAfter = 120; ///< Through each gateway, 240 together.
constexpr double kAllowedDeviation = 0.2;

std::string split(int alpha, int beta)
{
    return R"({"host":"shop.example","pathPrefix":"/x/","routeType":"safe","timeout":"2s","targetLatency":"500ms","priority":1,)"
           R"("weightedSplit":[{"service":"alpha","weight":)"
        + std::to_string(alpha) + R"(},{"service":"beta","weight":)" + std::to_string(beta) + R"(}],"maxAttempts":2})";
}

std::string firstManifest()
{
    return R"({"version":1,"baseVersion":0,"routes":{"r-shop":)" + split(90, 10)
        + R"(},"services":{"alpha":{"healthPath":"/health","maxConnections":110},"beta":{"healthPath":"/health","maxConnections":110}}})";
}

std::string change(int alpha, int beta)
{
    return R"({"version":2,"baseVersion":1,"upsert":{"routes":{"r-shop":)" + split(alpha, beta) + "}}}";
}

/// Sends requests through each gateway in turn; returns how many ran at alpha, or a negative number if one failed.
int countAlpha(Record &record, Deployment &deployment, const std::string &name, int requests)
{
    int alpha = 0;
    for (int i = 0; i < requests; ++i) {
        int n = 0;
        for (const auto &gateway : deployment.gateways()) {
            const auto id = name + "-" + std::to_string(++n) + "-" + std::to_string(i);
            const auto answer = exchange(
                gateway.outbound,
                formatRequest("GET",
                              "/x/" + id,
                              { { "Host", "shop.example" }, { "X-Toucandeck-Request-Id", id }, { "X-Toucandeck-Deadline-Ms", "2000" } },
                              {}),
                milliseconds(2500));
            if (!answer || answer->status() != 200) {
                record.write("client: " + id + " is answered " + std::to_string(answer ? answer->status() : 0));
                return -1;
            }
            alpha += answer->body.starts_with("i-alpha") ? 1 : 0;
        }
    }
    return alpha;
}

Verdict run(Record &record)
{
    Deployment deployment(record, 5, 2);
    std::list<Server> servers;
    for (const char *service : { "alpha", "beta" }) {
        auto options = deployment.serverOptions(deployment.addGateway(service));
        options.id = std::string("i-") + service;
        servers.emplace_back(record, options);
    }
    if (deployment.order("POST", "/toucandeck/config/put", firstManifest(), milliseconds(15'000)) != 200
        || !deployment.awaitReady(milliseconds(10'000))) {
        return Verdict::CouldNotRun;
    }
    sleepFor(milliseconds(4000));
    const int before = countAlpha(record, deployment, "before", kRequestsBefore);
    // Both give alpha nothing and beta everything.
    const auto taken = hasTrouble() ? change(0, 1) : change(0, 100);
    if (before < 0 || deployment.order("POST", "/toucandeck/config/patch", taken, milliseconds(10'000)) != 200) {
        return Verdict::CouldNotRun;
    }
    sleepFor(kConfigApply + milliseconds(1000));
    const int sent = kRequestsAfter * static_cast<int>(deployment.gateways().size());
    const int after = countAlpha(record, deployment, "after", kRequestsAfter);
    if (after < 0) {
        return Verdict::CouldNotRun;
    }
    record.write(std::to_string(after) + " of " + std::to_string(sent) + " requests ran at alpha, whose weight is 0 since "
                 + std::to_string((kConfigApply + milliseconds(1000)).count()) + " ms before the first of them");
    return after > kAllowedDeviation * sent ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return argc < 2 ? static_cast<int>(Verdict::CouldNotRun) : runCase(argv[1], run);
}
