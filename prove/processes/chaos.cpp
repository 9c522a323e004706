#include "chaos.h"

#include <csignal>
#include <fmt/format.h>

namespace Toucandeck::Prove
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Duration kOperatorTimeout = 10s;
constexpr Duration kGracefulStopTimeout = 20s;

} // namespace

Chaos::Chaos(EventLoop &loop, Standin::LocalCluster &cluster, RandomSource &random, EditRace &edits)
    : m_loop(loop)
    , m_cluster(cluster)
    , m_random(random)
    , m_edits(edits)
{
}

Result<void> Chaos::step()
{
    struct Entry
    {
        const char *name;
        Fault fault;
    };
    static constexpr Entry kFaults[] = {
        { "router_killed", &Chaos::killRouter },
        { "backend_killed", &Chaos::killBackend },
        { "vm_killed", &Chaos::killVm },
        { "controller_killed", &Chaos::killController },
        { "leader_killed", &Chaos::killLeader },
        { "router_frozen", &Chaos::freezeRouter },
        { "backend_frozen", &Chaos::freezeBackend },
        { "leader_frozen", &Chaos::freezeLeader },
        { "router_cut", &Chaos::isolateRouter },
        { "leader_cut", &Chaos::isolateLeader },
        { "disk_lost", &Chaos::loseControllerData },
        { "edits_raced", &Chaos::raceEdits },
        { "domain_out", &Chaos::takeDomainOut },
        { "router_stopped", &Chaos::stopGracefully },
    };
    const auto &it = kFaults[m_random.below(std::size(kFaults))];
    ++m_faults[it.name];
    BOOST_LEAF_CHECK((this->*it.fault)());
    waitRandomTime(200ms, 1500ms);
    return {};
}

const std::map<std::string, std::uint64_t> &Chaos::faults() const
{
    return m_faults;
}

const std::vector<DomainOut> &Chaos::domainsOut() const
{
    return m_domainsOut;
}

Result<void> Chaos::killRouter()
{
    return killAndRestart({ "router-" + anyInstance() });
}

Result<void> Chaos::killBackend()
{
    return killAndRestart({ anyInstance() });
}

Result<void> Chaos::killVm()
{
    const auto instance = anyInstance();
    return killAndRestart({ "router-" + instance, instance });
}

Result<void> Chaos::killController()
{
    return killAndRestart({ anyController() });
}

Result<void> Chaos::killLeader()
{
    const auto leader = m_cluster.leader();
    return killAndRestart({ leader.empty() ? anyController() : leader });
}

Result<void> Chaos::freezeRouter()
{
    freeze("router-" + anyInstance());
    return {};
}

Result<void> Chaos::freezeBackend()
{
    freeze(anyInstance());
    return {};
}

Result<void> Chaos::freezeLeader()
{
    const auto leader = m_cluster.leader();
    freeze(leader.empty() ? anyController() : leader);
    return {};
}

Result<void> Chaos::isolateRouter()
{
    isolate("router-" + anyInstance());
    return {};
}

Result<void> Chaos::isolateLeader()
{
    const auto leader = m_cluster.leader();
    isolate(leader.empty() ? anyController() : leader);
    return {};
}

Result<void> Chaos::loseControllerData()
{
    return replaceController(anyController());
}

Result<void> Chaos::raceEdits()
{
    m_edits.run(++m_races);
    return {};
}

Result<void> Chaos::takeDomainOut()
{
    const auto &domains = m_cluster.layout().failureDomains;
    const auto failureDomain = domains[m_random.below(domains.size())];
    const auto row = "*/" + failureDomain + "/*";
    BOOST_LEAF_CHECK(m_cluster.setRow(row, { { "state", "out" } }, true, kOperatorTimeout));
    const auto from = m_loop.clock().now();
    waitRandomTime(4s, 7s);
    m_domainsOut.push_back({ failureDomain, from, m_loop.clock().now() });
    BOOST_LEAF_CHECK(m_cluster.setRow(row, { { "state", "serving" } }, true, kOperatorTimeout));
    return {};
}

Result<void> Chaos::stopGracefully()
{
    const auto name = "router-" + anyInstance();
    m_cluster.process(name)->signal(SIGTERM);
    const auto end = m_loop.clock().now() + kGracefulStopTimeout;
    m_loop.runUntil([&] { return !m_cluster.process(name)->isRunning(); }, end - m_loop.clock().now());
    m_cluster.kill(name);
    return m_cluster.restart(name);
}

std::string Chaos::anyInstance()
{
    const auto names = m_cluster.instanceNames();
    return names[m_random.below(names.size())];
}

std::string Chaos::anyController()
{
    const auto names = m_cluster.controllerNames();
    return names[m_random.below(names.size())];
}

void Chaos::waitRandomTime(Duration shortest, Duration longest)
{
    const auto spread = static_cast<std::uint64_t>((longest - shortest).count());
    m_loop.runUntil([] { return false; }, shortest + Duration(m_random.below(spread)));
}

Result<void> Chaos::killAndRestart(const std::vector<std::string> &names)
{
    for (const auto &it : names) {
        m_cluster.kill(it);
    }
    waitRandomTime(200ms, 2500ms);
    for (const auto &it : names) {
        BOOST_LEAF_CHECK(m_cluster.restart(it));
    }
    return {};
}

void Chaos::freeze(const std::string &name)
{
    m_cluster.process(name)->signal(SIGSTOP);
    waitRandomTime(1s, 5s);
    m_cluster.process(name)->signal(SIGCONT);
}

void Chaos::isolate(const std::string &name)
{
    m_cluster.setCut(name, true);
    waitRandomTime(500ms, 4s);
    m_cluster.setCut(name, false);
}

Result<void> Chaos::replaceController(const std::string &name)
{
    const auto identity = [&]() -> std::string {
        const auto result = m_cluster.call(
            m_cluster.controllerAddress(name), m_cluster.operatorRequest("GET", "/v1/identity", ""), std::chrono::seconds(1));
        const auto answer = json::parse(result.response ? result.response->body : "", nullptr, false);
        return answer.is_object() ? answer.value("replica", "") : "";
    };
    const auto old = identity();
    BOOST_LEAF_AUTO(before, m_cluster.operate("GET", "/v1/controllers", {}, kOperatorTimeout));
    json member;
    for (const auto &it : before["members"]) {
        if (it["replica"] == old) {
            member = it;
        }
    }
    m_cluster.kill(name);
    m_cluster.removeData(name);
    BOOST_LEAF_CHECK(m_cluster.restart(name));
    std::string fresh;
    m_loop.runUntil([] { return false; }, 300ms);
    for (int n = 0; n < 50 && fresh.empty(); ++n) {
        fresh = identity();
    }
    if (member.is_null() || fresh.empty() || fresh == old) {
        return fail(ErrorCode::Unavailable, fmt::format("controller {} did not restart with a new identity", name));
    }
    const json added = { { "replica", fresh },
                         { "failure_domain", member["failure_domain"] },
                         { "address", member["address"] },
                         { "http_address", member["http_address"] } };
    BOOST_LEAF_CHECK(m_cluster.operate("POST", "/v1/controllers/remove?replica=" + old, json::object(), kOperatorTimeout));
    BOOST_LEAF_CHECK(m_cluster.operate("POST", "/v1/controllers/add", { { "members", json::array({ added }) } }, kOperatorTimeout));
    // The next fault may hit another controller, so this one must be a voter of the quorum first.
    const auto end = m_loop.clock().now() + kOperatorTimeout;
    while (m_loop.clock().now() < end) {
        BOOST_LEAF_AUTO(now, m_cluster.operate("GET", "/v1/controllers", {}, kOperatorTimeout));
        for (const auto &it : now["members"]) {
            if (it["replica"] == fresh && it["role"] == "voter") {
                return {};
            }
        }
        m_loop.runUntil([] { return false; }, 50ms);
    }
    return fail(ErrorCode::Unavailable, fmt::format("controller {} did not become a voter", name));
}

} // namespace Toucandeck::Prove
