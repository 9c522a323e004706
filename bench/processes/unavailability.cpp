// unavailable_ms: time without answers for a key after a loss, at the network delays of the layout.
#include "measurement.h"

#include <csignal>
#include <fmt/format.h>

namespace Toucandeck::Bench
{

namespace
{

constexpr Duration kProbeInterval = std::chrono::milliseconds(5);
constexpr Duration kSettle = std::chrono::seconds(2);
constexpr Duration kObserve = std::chrono::seconds(4);
constexpr Duration kRestartPause = std::chrono::seconds(6);

/// Sends a look-up of one key every few milliseconds and keeps the times of the successful answers.
class Probe
{
public:
    Probe(Deployment &deployment, std::string target, std::string key)
        : m_deployment(deployment)
        , m_target(std::move(target))
        , m_key(std::move(key))
        , m_client(*deployment.loop, {}, deployment.logger)
    {
        m_timer = deployment.loop->every(kProbeInterval, [this] { send(); });
    }

    /// Longest time between two successful answers that were both received after @p from.
    Duration longestGap(TimePoint from) const
    {
        Duration longest{};
        auto last = from;
        for (const auto it : m_answers) {
            if (it > from) {
                longest = std::max(longest, Duration(it - last));
                last = it;
            }
        }
        return std::max(longest, Duration(m_deployment.clock.now() - last));
    }

private:
    void send()
    {
        HttpRequest request;
        request.target = "/clue-svc/" + m_key;
        setHeader(request.headers, "Toucandeck-Load-Id", "probe");
        setHeader(request.headers, "Toucandeck-Deadline-Ms", "100");
        m_client.send(m_target, request, std::chrono::milliseconds(150), [this](const HttpResult &result) {
            if (result.response && result.response->status == 200) {
                m_answers.push_back(m_deployment.clock.now());
            }
        });
    }

    Deployment &m_deployment;
    std::string m_target;
    std::string m_key;
    HttpClient m_client;
    EventLoop::Watch m_timer;
    std::vector<TimePoint> m_answers;
};

std::string ownerOf(Deployment &deployment, const std::string &target, const std::string &key)
{
    HttpRequest request;
    request.target = "/clue-svc/" + key;
    const auto result = deployment.cluster->call(target, request, std::chrono::seconds(5));
    return result.response ? std::string(result.response->header("Toucandeck-Load-Instance").value_or("")) : "";
}

/// Kills the processes and returns the longest time that the key was not served.
Duration gapAfterKill(Deployment &deployment, const std::string &observer, const std::string &key, const std::vector<std::string> &victims)
{
    auto &cluster = *deployment.cluster;
    Probe probe(deployment, cluster.routerAddress(observer), key);
    runFor(*deployment.loop, kSettle);
    const auto killed = deployment.clock.now();
    for (const auto &it : victims) {
        cluster.process(it)->signal(SIGKILL);
    }
    runFor(*deployment.loop, kObserve);
    const auto gap = probe.longestGap(killed);
    for (const auto &it : victims) {
        cluster.kill(it);
    }
    return gap;
}

Result<void> restartAll(Deployment &deployment, const std::vector<std::string> &victims)
{
    for (const auto &it : victims) {
        BOOST_LEAF_CHECK(deployment.cluster->restart(it));
    }
    runFor(*deployment.loop, kRestartPause);
    return {};
}

/// Routers and backend servers of the failure domain, and its controllers.
std::vector<std::string> processesOf(Deployment &deployment, const std::string &failureDomain)
{
    auto &cluster = *deployment.cluster;
    std::vector<std::string> all;
    for (const auto &it : cluster.instanceNames()) {
        if (cluster.failureDomainOf(it) == failureDomain) {
            all.push_back(it);
            all.push_back("router-" + it);
        }
    }
    for (const auto &it : cluster.controllerNames()) {
        if (cluster.failureDomainOf(it) == failureDomain) {
            all.push_back(it);
        }
    }
    return all;
}

/// Time from the start of a killed router and backend server until they are ready: a system without failover waits at least this long.
Result<Duration> restartTime(Deployment &deployment, const std::string &owner)
{
    const std::vector<std::string> victims = { "router-" + owner, owner };
    for (const auto &it : victims) {
        deployment.cluster->kill(it);
    }
    const auto start = deployment.clock.now();
    for (const auto &it : victims) {
        BOOST_LEAF_CHECK(deployment.cluster->restart(it));
    }
    const auto address = deployment.cluster->routerAddress(owner);
    HttpRequest request;
    request.target = "/readyz";
    while (deployment.clock.now() - start < kRestartPause) {
        const auto result = deployment.cluster->call(address, request, std::chrono::milliseconds(200));
        if (result.response && result.response->status == 200) {
            break;
        }
    }
    const auto time = deployment.clock.now() - start;
    runFor(*deployment.loop, kRestartPause);
    return time;
}

void print(const char *what, const std::vector<double> &ours, double naive)
{
    fmt::print("unavailable_ms_{} ours={:.0f} naive={:.0f} unit=ms n={} spread={:.0f}..{:.0f}\n",
               what,
               quantile(ours, 0.5),
               naive,
               ours.size(),
               quantile(ours, 0),
               quantile(ours, 1));
}

} // namespace

Result<void> measureUnavailability(const MeasureOptions &options)
{
    BOOST_LEAF_AUTO(layout, Standin::Layout::read(options.layout));
    BOOST_LEAF_AUTO(deployment, Deployment::start(options, layout));
    auto &cluster = *deployment->cluster;
    std::vector<double> owner;
    std::vector<double> backendOnly;
    std::vector<double> leader;
    std::vector<double> domain;
    std::vector<double> restart;
    for (std::uint32_t run = 0; run < options.runs; ++run) {
        const auto key = fmt::format("team-{}", run);
        auto target = ownerOf(*deployment, cluster.routerAddress("judge-svc-1"), key);
        if (target.empty()) {
            return fail(ErrorCode::Unavailable, "no instance answered");
        }
        const auto pick = [&](const std::string &failureDomain) {
            for (const auto &it : cluster.instanceNames()) {
                if (it != target && cluster.failureDomainOf(it) != failureDomain) {
                    return it;
                }
            }
            return cluster.instanceNames().front();
        };
        auto observer = pick(cluster.failureDomainOf(target));
        const std::vector<std::string> ownerProcesses = { "router-" + target, target };
        owner.push_back(toMs(gapAfterKill(*deployment, observer, key, ownerProcesses)));
        BOOST_LEAF_CHECK(restartAll(*deployment, ownerProcesses));

        const std::vector<std::string> backend = { ownerOf(*deployment, cluster.routerAddress("judge-svc-1"), key) };
        observer = pick(cluster.failureDomainOf(backend.front()));
        backendOnly.push_back(toMs(gapAfterKill(*deployment, observer, key, backend)));
        BOOST_LEAF_CHECK(restartAll(*deployment, backend));

        const std::vector<std::string> leaders = { cluster.leader() };
        leader.push_back(toMs(gapAfterKill(*deployment, observer, key, leaders)));
        BOOST_LEAF_CHECK(restartAll(*deployment, leaders));

        target = ownerOf(*deployment, cluster.routerAddress("judge-svc-1"), key);
        const auto lost = cluster.failureDomainOf(target);
        observer = pick(lost);
        const auto victims = processesOf(*deployment, lost);
        domain.push_back(toMs(gapAfterKill(*deployment, observer, key, victims)));
        BOOST_LEAF_CHECK(restartAll(*deployment, victims));

        target = ownerOf(*deployment, cluster.routerAddress("judge-svc-1"), key);
        BOOST_LEAF_AUTO(time, restartTime(*deployment, target));
        restart.push_back(toMs(time));
    }
    print("owner", owner, quantile(restart, 0.5));
    print("backend_server", backendOnly, quantile(restart, 0.5));
    print("leader", leader, quantile(restart, 0.5));
    print("failure_domain", domain, quantile(restart, 0.5));
    return {};
}

} // namespace Toucandeck::Bench
