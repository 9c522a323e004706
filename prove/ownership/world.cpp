#include "ownership/world.h"

#include "common/key_hash.h"
#include "ownership/lease.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck::OwnershipRun
{

namespace
{

constexpr std::uint32_t kPartitions = 24;
constexpr int kKeys = 30;
constexpr Duration kProbeInterval = 10ms;
/// A lease may not be held with a view older than this: 2 s when the renewal is answered, and the lease.
constexpr Duration kViewBound = 2s + kLeaseTtl + 10ms;

} // namespace

World::World(std::uint64_t seed)
    : random(seed)
    , network(time, random)
    , checker(time)
    , log(time, random, network)
    , m_domains{ "a", "b", "c", "d" }
{
    for (const char *it : { "controller-1", "controller-2", "controller-3" }) {
        controllers.push_back(std::make_unique<Controller>(time, random, network, log, it));
        network.add(*controllers.back());
        log.add(*controllers.back());
    }
    addRouters("clue", 6, false);
    addRouters("judge", 4, true);
    addRouters("hunt", 4, false);
    log.start();
    time.every(kProbeInterval, [this] { probe(); });
}

void World::addRouters(const std::string &service, int n, bool fenced)
{
    checker.setFenced(service, fenced);
    if (service != "hunt") {
        for (int i = 0; i < kKeys; ++i) {
            m_keys[service].push_back(hashKey(fmt::format("{}-{}", service, i)));
        }
    }
    for (int i = 0; i < n; ++i) {
        wire::RouterSession session;
        session.set_service(service);
        session.set_failure_domain(m_domains[static_cast<std::size_t>(i) % m_domains.size()]);
        session.set_instance(fmt::format("{}-{}", service, i));
        session.set_message_address(session.instance());
        session.set_http_address(session.instance());
        session.set_fenced(fenced);
        session.set_backend_ready(true);
        std::vector<std::string> addresses;
        for (const auto &it : controllers) {
            addresses.push_back(it->address());
        }
        routers.push_back(std::make_unique<Router>(time, random, network, checker, session, addresses));
        routers.back()->setKeys(m_keys[service]);
        routers.back()->setResumedCallback([this](Router &router) { probe(router); });
        network.add(*routers.back());
        routers.back()->start();
    }
}

void World::settle()
{
    run(1s);
    for (const char *it : { "clue", "judge" }) {
        wire::TableRow row;
        row.set_service(it);
        row.set_key("segment:1");
        row.set_partitions(kPartitions);
        row.set_fenced(std::string(it) == "judge");
        edit(row);
    }
    run(4s);
}

void World::run(Duration length)
{
    time.runUntil(time.now() + length);
}

void World::edit(const wire::TableRow &row)
{
    auto *at = leader();
    if (at == nullptr) {
        return;
    }
    wire::Command command;
    command.mutable_edit_table()->set_request_id(fmt::format("edit-{}", random.next()));
    auto &edit = *command.mutable_edit_table()->add_edits();
    *edit.mutable_row() = row;
    const auto *present = at->view().row(keyOf(row));
    edit.set_seen_revision(present == nullptr ? 0 : present->revision());
    at->proposeCommand(command, [](const CommandAnswer *) {});
}

void World::setDomainState(const std::string &domain, wire::RowState state)
{
    wire::TableRow row;
    row.set_failure_domain(domain);
    row.set_state(state);
    edit(row);
}

Controller *World::leader()
{
    auto *it = log.leader();
    return it != nullptr && it->isLeading() && it->isRunning() ? it : nullptr;
}

const std::vector<std::string> &World::domains() const
{
    return m_domains;
}

void World::resetGaps()
{
    m_longestGap = Duration::zero();
    m_lastServed.clear();
    for (const auto &[service, keys] : m_keys) {
        for (const auto key : keys) {
            m_lastServed[{ service, key }] = time.now();
        }
    }
}

Duration World::longestGap() const
{
    auto longest = m_longestGap;
    for (const auto &[key, last] : m_lastServed) {
        longest = std::max(longest, time.now() - last);
    }
    return longest;
}

std::string World::describeWorstKey() const
{
    const auto worst
        = std::min_element(m_lastServed.begin(), m_lastServed.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    const auto &[service, key] = worst->first;
    const auto owner = latestView().ownerOf(service, key).value_or(Owner());
    const auto *session = latestView().session(owner.session);
    return fmt::format("{} key {:x} partition {} owner {} epoch {} moving to {:x} hot {} crashed {}",
                       service,
                       key.value,
                       owner.partition.value,
                       session == nullptr ? "none" : session->instance(),
                       owner.epoch.value,
                       owner.movingTo.value,
                       owner.hotKey,
                       owner.crashed);
}

void World::probe()
{
    checkDomains();
    for (auto &it : routers) {
        if (it->isRunning()) {
            probe(*it);
        }
    }
    checkViews();
}

void World::probe(Router &router)
{
    router.tryUnkeyed();
    for (const auto key : m_keys[router.service()]) {
        if (router.tryAdmit(key)) {
            auto &last = m_lastServed[{ router.service(), key }];
            m_longestGap = std::max(m_longestGap, time.now() - last);
            last = time.now();
        }
    }
}

const View &World::latestView() const
{
    const auto latest = std::max_element(
        controllers.begin(), controllers.end(), [](const auto &a, const auto &b) { return a->view().version() < b->view().version(); });
    return (*latest)->view();
}

void World::checkDomains()
{
    for (const auto &it : m_domains) {
        wire::TableRow key;
        key.set_failure_domain(it);
        const auto *row = latestView().row(keyOf(key));
        checker.domainOut(it, row != nullptr && (row->state() == wire::OUT || row->state() == wire::LEAVING));
    }
}

void World::checkViews()
{
    const auto version = latestView().version();
    if (m_versions.empty() || m_versions.back().second < version) {
        m_versions.emplace_back(time.now(), version);
    }
    while (m_versions.size() > 1 && time.now() - m_versions[1].first >= kViewBound) {
        m_versions.pop_front();
    }
    if (time.now() - m_versions.front().first < kViewBound) {
        return;
    }
    for (auto &it : routers) {
        if (it->isRunning() && it->agent().leaseEnd() && it->agent().view().version() < m_versions.front().second) {
            checker.violation(fmt::format("{} holds a lease with version {} when {} is old",
                                          it->address(),
                                          it->agent().view().version().value,
                                          m_versions.front().second.value));
        }
    }
}

} // namespace Toucandeck::OwnershipRun
