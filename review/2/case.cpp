// A change of the manifest is rolled back. A gateway that was frozen meanwhile keeps the rolled-back change for good, if the leader that
// it finds has led before.
#include "../harness/harness.h"

using namespace Review;

namespace
{

constexpr milliseconds kContact{ 3000 };
constexpr milliseconds kConfigApply{ 2000 };
constexpr milliseconds kLeaderFreeze{ 3000 };
constexpr milliseconds kCaseLimit{ 95'000 };
constexpr int kWatchedRequests = 60; ///< One each 100 ms.
constexpr int kAllowedStaleRuns = 0;

std::string route(const std::string &service)
{
    return R"({"host":"shop.example","pathPrefix":"/x/","routeType":"safe","timeout":"2s","targetLatency":"500ms","priority":1,"service":")"
        + service + R"(","maxAttempts":2})";
}

std::string firstManifest()
{
    return R"({"version":1,"baseVersion":0,"routes":{"r-shop":)" + route("alpha")
        + R"(},"services":{"alpha":{"healthPath":"/health","maxConnections":110},"beta":{"healthPath":"/health","maxConnections":110}}})";
}

std::string change(int version, int base, const std::string &service)
{
    return R"({"version":)" + std::to_string(version) + R"(,"baseVersion":)" + std::to_string(base) + R"(,"upsert":{"routes":{"r-shop":)"
        + route(service) + "}}}";
}

/// Checks one gateway by its clients' requests.
class Client
{
public:
    Client(Record &record, Address outbound)
        : m_record(record)
        , m_outbound(std::move(outbound))
    {
    }

    /// Service that ran the request; empty if it was not served.
    std::string serviceOfNext()
    {
        const auto id = "q" + std::to_string(++m_sent);
        const auto answer = exchange(
            m_outbound,
            formatRequest("GET",
                          "/x/" + id,
                          { { "Host", "shop.example" }, { "X-Toucandeck-Request-Id", id }, { "X-Toucandeck-Deadline-Ms", "2000" } },
                          {}),
            milliseconds(2500));
        const auto status = answer ? answer->status() : 0;
        const bool byAlpha = status == 200 && answer->body.starts_with("i-alpha");
        const bool byBeta = status == 200 && answer->body.starts_with("i-beta");
        std::string service = byAlpha ? "alpha" : byBeta ? "beta" : "";
        m_record.write("client: " + id + " is answered " + std::to_string(status) + " " + service);
        return service;
    }

    bool await(const std::string &service, milliseconds limit)
    {
        const auto end = Clock::now() + limit;
        while (Clock::now() < end) {
            if (serviceOfNext() == service) {
                return true;
            }
            sleepFor(milliseconds(100));
        }
        return false;
    }

private:
    Record &m_record;
    Address m_outbound;
    int m_sent = 0;
};

Verdict run(Record &record)
{
    Deployment deployment(record, 5, 2);
    std::list<Server> servers;
    for (const char *service : { "alpha", "beta", "alpha", "beta" }) {
        const auto &gateway = deployment.addGateway(service);
        auto options = deployment.serverOptions(gateway);
        options.id = std::string("i-") + service + "-" + gateway.name;
        servers.emplace_back(record, options);
    }
    const auto &gateway = deployment.gateways().front();
    if (deployment.order("POST", "/toucandeck/config/put", firstManifest(), milliseconds(15'000)) != 200
        || !deployment.awaitReady(milliseconds(10'000))) {
        return Verdict::CouldNotRun;
    }
    Client client(record, gateway.outbound);
    if (!client.await("alpha", milliseconds(10'000))) {
        return Verdict::CouldNotRun;
    }
    const bool trouble = hasTrouble();
    for (int version = 1; record.nowMs() < kCaseLimit.count(); version += 2) {
        if (deployment.order("POST", "/toucandeck/config/patch", change(version + 1, version, "beta"), milliseconds(10'000)) != 200
            || !client.await("beta", milliseconds(5000))) {
            return Verdict::CouldNotRun;
        }
        const int leader = deployment.awaitLeader(milliseconds(5000));
        if (leader < 0) {
            return Verdict::CouldNotRun;
        }
        if (trouble) {
            record.write(gateway.name + " is frozen");
            deployment.process(gateway.name).signal(SIGSTOP);
        }
        // The change is rolled back.
        if (deployment.order("POST", "/toucandeck/config/patch", change(version + 2, version + 1, "alpha"), milliseconds(10'000)) != 200) {
            return Verdict::CouldNotRun;
        }
        if (trouble) {
            record.write(deployment.controllerName(leader) + ", which leads, is frozen");
            deployment.process(deployment.controllerName(leader)).signal(SIGSTOP);
            sleepFor(kLeaderFreeze);
            deployment.process(deployment.controllerName(leader)).signal(SIGCONT);
            deployment.process(gateway.name).signal(SIGCONT);
            record.write("both run again; " + deployment.controllerName(deployment.awaitLeader(milliseconds(3000))) + " leads");
        }
        sleepFor(kContact + kConfigApply);
        record.write("the rolled-back change has to be out of force everywhere");
        int stale = 0;
        for (int i = 0; i < kWatchedRequests; ++i) {
            stale += client.serviceOfNext() == "beta" ? 1 : 0;
            sleepFor(milliseconds(100));
            if (i == kWatchedRequests / 6 && stale == 0) {
                break; // The gateway follows.
            }
        }
        if (stale > kAllowedStaleRuns) {
            std::string manifest;
            deployment.order("GET", "/toucandeck/config/get", {}, milliseconds(5000), &manifest);
            record.write("manifest in force: " + manifest);
            record.write(std::to_string(stale) + " of " + std::to_string(kWatchedRequests)
                         + " requests ran at beta, which only the rolled-back version allows");
            return Verdict::Broken;
        }
        if (!trouble && version > 6) {
            break;
        }
    }
    return Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return argc < 2 ? static_cast<int>(Verdict::CouldNotRun) : runCase(argv[1], run);
}
