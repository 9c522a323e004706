#include "ownership/faults.h"

#include "common/key_hash.h"
#include "ownership/lease.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace Toucandeck::OwnershipRun
{

namespace
{

constexpr Duration kServedAgainBound = 1s;
/// Longest restart, lease, election and re-balancing with a limit of moves in progress.
constexpr Duration kHealTime = 6s;
/// Time without owner during a graceful move: two commits, three messages and the longest drain, with a margin.
constexpr Duration kMoveBound = 300ms;
constexpr std::uint32_t kTroublePermille = 30;

} // namespace

Faults::Faults(World &world)
    : m_world(world)
{
}

void Faults::chaos(Duration length)
{
    struct Kind
    {
        const char *name;
        Fault inject;
    };
    static const Kind kinds[] = {
        { "router_pauses", &Faults::pauseRouter },
        { "controller_pauses", &Faults::pauseController },
        { "controller_restarts", &Faults::restartController },
        { "router_losses", &Faults::killRouter },
        { "router_closes", &Faults::closeRouter },
        { "router_restarts", &Faults::restartRouterAtOnce },
        { "one_way_partitions", &Faults::partitionOneWay },
        { "two_way_partitions", &Faults::partitionTwoWays },
        { "leaders_isolated", &Faults::isolateLeader },
        { "routers_isolated", &Faults::isolateRouter },
        { "edit_races", &Faults::raceEdits },
        { "domains_out_or_back", &Faults::toggleDomain },
        { "leave_times", &Faults::toggleLeaveTime },
        { "backend_changes", &Faults::changeBackend },
        { "hot_key_reports", &Faults::reportHotKey },
    };
    m_world.network.setTrouble(kTroublePermille);
    const auto end = m_world.time.now() + length;
    while (m_world.time.now() < end) {
        m_world.run(between(0ms, 400ms));
        const auto &kind = kinds[m_world.random.below(std::size(kinds))];
        ++m_counts[kind.name];
        (this->*kind.inject)();
    }
}

void Faults::heal()
{
    m_world.network.setTrouble(0);
    m_world.network.unblockAll();
    m_world.run(6s); // The longest pause.
    for (auto &it : m_world.routers) {
        if (!it->isUp()) {
            it->start();
        }
        it->agent().setBackend(true, false);
        it->agent().setLoad({});
    }
    for (const auto &it : m_world.domains()) {
        m_world.setDomainState(it, wire::SERVING);
    }
    m_world.run(kHealTime);
    m_world.resetGaps();
    m_world.run(2 * kMoveBound);
    if (m_world.longestGap() > kMoveBound) {
        m_world.checker.violation(fmt::format("no owner {} s after all faults have ended: {}", kHealTime / 1s, m_world.describeWorstKey()));
    }
}

void Faults::loseOneRouter()
{
    ++m_counts["single_router_losses"];
    auto &lost = anyRouter();
    m_world.run(between(0ms, 200ms));
    m_world.resetGaps();
    lost.kill();
    m_world.run(2s);
    checkGap("the loss of one router");
    lost.start();
    m_world.run(3s);
}

void Faults::loseLeader()
{
    auto *leader = m_world.leader();
    if (leader == nullptr) {
        return;
    }
    ++m_counts["single_leader_losses"];
    m_world.run(between(0ms, 200ms));
    m_world.resetGaps();
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const auto &it : m_world.routers) {
        before += it->leasesLost();
    }
    leader->pause(3s);
    m_world.run(2s);
    checkGap("the loss of the leader");
    for (const auto &it : m_world.routers) {
        after += it->leasesLost();
    }
    if (after != before) {
        m_world.checker.violation(fmt::format("{} leases ended after the loss of the leader", after - before));
    }
    m_world.run(3s);
}

void Faults::takeDomainOutAndBack()
{
    ++m_counts["single_domains_out"];
    const auto &domain = m_world.domains()[m_world.random.below(m_world.domains().size())];
    m_world.resetGaps();
    m_world.setDomainState(domain, wire::OUT);
    m_world.run(5s);
    checkGap("taking a failure domain out");
    m_world.setDomainState(domain, wire::SERVING);
    m_world.run(4s);
}

void Faults::checkGap(const std::string &what)
{
    const auto gap = m_world.longestGap();
    m_longestGapAfterLoss = std::max(m_longestGapAfterLoss, gap);
    if (gap > kServedAgainBound) {
        m_world.checker.violation(fmt::format("a key was without owner for {} ms after {}", gap / 1ms, what));
    }
}

const std::map<std::string, std::uint64_t> &Faults::counts() const
{
    return m_counts;
}

Duration Faults::longestGapAfterLoss() const
{
    return m_longestGapAfterLoss;
}

Router &Faults::anyRouter()
{
    return *m_world.routers[m_world.random.below(m_world.routers.size())];
}

Controller &Faults::anyController()
{
    return *m_world.controllers[m_world.random.below(m_world.controllers.size())];
}

Duration Faults::between(Duration shortest, Duration longest)
{
    return shortest + Duration(m_world.random.below(static_cast<std::uint64_t>((longest - shortest).count()) + 1));
}

void Faults::pauseRouter()
{
    // Pauses of about the length of the lease reveal faults at its end.
    const bool isLong = m_world.random.below(2) == 0;
    anyRouter().pause(isLong ? between(1s, 5s) : between(50ms, 1s));
}

void Faults::pauseController()
{
    const bool isLong = m_world.random.below(2) == 0;
    anyController().pause(isLong ? between(1s, 5s) : between(50ms, 500ms));
}

void Faults::restartController()
{
    anyController().restart();
}

void Faults::killRouter()
{
    auto &router = anyRouter();
    router.kill();
    m_world.time.after(between(100ms, 3s), [&router] {
        if (!router.isUp()) {
            router.start();
        }
    });
}

void Faults::closeRouter()
{
    auto &router = anyRouter();
    if (!router.isRunning()) {
        return;
    }
    router.closeGracefully();
    m_world.time.after(between(1s, 5s), [&router] {
        if (!router.isUp()) {
            router.start();
        }
    });
}

void Faults::restartRouterAtOnce()
{
    auto &router = anyRouter();
    router.kill();
    router.start();
}

void Faults::cutFor(const std::string &from, const std::string &to, Duration length)
{
    m_world.network.block(from, to);
    m_world.time.after(length, [this, from, to] { m_world.network.unblock(from, to); });
}

void Faults::partitionOneWay()
{
    const auto length = between(100ms, 4s);
    if (m_world.random.below(2) == 0) {
        cutFor(anyRouter().address(), anyController().address(), length);
    } else {
        cutFor(anyController().address(), anyRouter().address(), length);
    }
}

void Faults::partitionTwoWays()
{
    const auto length = between(100ms, 4s);
    const auto &a = anyController().address();
    const auto &b = anyController().address();
    cutFor(a, b, length);
    cutFor(b, a, length);
}

void Faults::isolateLeader()
{
    // Routers still reach the old leader, which does not learn of the election.
    auto *leader = m_world.leader();
    if (leader == nullptr) {
        return;
    }
    const auto length = between(500ms, 5s);
    for (const auto &it : m_world.controllers) {
        if (it.get() != leader) {
            cutFor(leader->address(), it->address(), length);
            cutFor(it->address(), leader->address(), length);
        }
    }
    if (m_world.random.below(2) == 0) {
        // These routers reach only the old leader.
        for (const auto &router : m_world.routers) {
            if (m_world.random.below(3) != 0) {
                continue;
            }
            for (const auto &it : m_world.controllers) {
                if (it.get() != leader) {
                    cutFor(router->address(), it->address(), length);
                }
            }
        }
    }
}

void Faults::isolateRouter()
{
    const auto length = between(100ms, 4s);
    const auto &router = anyRouter().address();
    const bool bothWays = m_world.random.below(2) == 0;
    for (const auto &it : m_world.controllers) {
        cutFor(it->address(), router, length);
        if (bothWays) {
            cutFor(router, it->address(), length);
        }
    }
}

void Faults::raceEdits()
{
    auto *leader = m_world.leader();
    if (leader == nullptr) {
        return;
    }
    const auto &router = anyRouter();
    for (int i = 0; i < 2; ++i) {
        wire::TableRow row;
        row.set_service(router.service());
        row.set_failure_domain(router.domain());
        row.set_instance(router.address());
        row.set_weight(50 + 50 * static_cast<std::uint32_t>(m_world.random.below(3)));
        m_world.edit(row);
    }
}

void Faults::toggleDomain()
{
    const auto &domain = m_world.domains()[m_world.random.below(m_world.domains().size())];
    m_world.setDomainState(domain, m_world.random.below(2) == 0 ? wire::OUT : wire::SERVING);
    m_world.time.after(between(3s, 6s), [this, domain] { m_world.setDomainState(domain, wire::SERVING); });
}

void Faults::toggleLeaveTime()
{
    wire::TableRow row;
    row.set_failure_domain(m_world.domains()[m_world.random.below(m_world.domains().size())]);
    row.set_leave_time_ms((anyController().clock().wallNow() + std::chrono::seconds(1)).time_since_epoch().count());
    m_world.edit(row);
    m_world.time.after(between(3s, 6s), [this, domain = row.failure_domain()] { m_world.setDomainState(domain, wire::SERVING); });
}

void Faults::changeBackend()
{
    auto &router = anyRouter();
    if (router.isRunning()) {
        router.agent().setBackend(m_world.random.below(4) != 0, m_world.random.below(2) == 0);
    }
}

void Faults::reportHotKey()
{
    auto &router = anyRouter();
    if (!router.isRunning()) {
        return;
    }
    AgentLoad load;
    load.loadPermille = 900;
    for (int i = 0; i < 3; ++i) {
        auto &key = load.hotKeys.emplace_back();
        key.set_service(router.service());
        key.set_key_hash(hashKey(fmt::format("{}-{}", router.service(), m_world.random.below(30))).value);
        key.set_rate(static_cast<double>(m_world.random.below(500)));
    }
    router.agent().setLoad(load);
}

} // namespace Toucandeck::OwnershipRun
