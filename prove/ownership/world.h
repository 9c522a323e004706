#pragma once

#include "common/random_source.h"
#include "ownership/checker.h"
#include "ownership/controller.h"
#include "ownership/fake_log.h"
#include "ownership/network.h"
#include "ownership/router.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::OwnershipRun
{

/// A simulated deployment: 3 controllers, 4 failure domains, 6 routers of a service without fencing, 4 of a fenced one, 4 of a
/// service that is not divided by key. Requests every key at every router every 10 ms.
class World
{
public:
    explicit World(std::uint64_t seed);

    /// Creates the table and waits until everything is owned.
    void settle();
    void run(Duration length);

    /// Proposes an edit of one row at the leader, with the revision that the leader shows.
    void edit(const wire::TableRow &row);
    void setDomainState(const std::string &domain, wire::RowState state);

    /// Leader that has been notified of its election, or nullptr.
    Controller *leader();
    const std::vector<std::string> &domains() const;

    /// Starts the measurement of the time without owner.
    void resetGaps();
    /// Describes the owner of the key that has been without owner for longest.
    std::string describeWorstKey() const;
    /// Longest time for which some key had no owner since then, or has none now.
    Duration longestGap() const;

    VirtualTime time;
    SeededRandom random;
    Network network;
    Checker checker;
    FakeLog log;
    std::vector<std::unique_ptr<Controller>> controllers;
    std::vector<std::unique_ptr<Router>> routers;

private:
    void addRouters(const std::string &service, int n, bool fenced);
    void probe();
    void probe(Router &router);
    void checkDomains();
    void checkViews();
    const View &latestView() const;

    std::vector<std::string> m_domains;
    std::map<std::string, std::vector<KeyHash>> m_keys;
    std::map<std::pair<std::string, KeyHash>, Duration> m_lastServed;
    std::deque<std::pair<Duration, LogIndex>> m_versions;
    Duration m_longestGap{ 0 };
};

} // namespace Toucandeck::OwnershipRun
