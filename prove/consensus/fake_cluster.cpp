#include "fake_cluster.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr std::uint64_t kStepsPerTick = 5;

} // namespace

FakeNode::FakeNode(FakeNetwork &network, HistoryChecker &checker, int slot, ReplicaId replica, std::uint64_t seed)
    : network(network)
    , slot(slot)
    , store(replica)
    , machine(checker)
    , random(seed)
{
    network.setAddress(replica, slot);
}

void FakeNode::send(ReplicaId to, const wire::ReplicaMessage &message)
{
    network.send(slot, to, message);
}

FakeCluster::FakeCluster(std::uint64_t seed, int count, ReplicaOptions options, std::vector<std::string> domains)
    : random(seed)
    , network(clock, random)
    , m_options(std::move(options))
    , m_domains(std::move(domains))
{
    for (int n = 0; n < count; ++n) {
        m_nodes.push_back(std::make_unique<FakeNode>(network, checker, n, ReplicaId{ random.next() | 1 }, random.next()));
        m_options.initialMembership.members.push_back(memberOf(*m_nodes.back(), ReplicaRole::Voter));
    }
    for (int n = 0; n < count; ++n) {
        start(n);
    }
}

std::string FakeCluster::domainOf(int slot) const
{
    const auto found = m_domainsBySlot.find(slot);
    return found != m_domainsBySlot.end() ? found->second : m_domains[static_cast<std::size_t>(slot) % m_domains.size()];
}

Member FakeCluster::memberOf(const FakeNode &node, ReplicaRole role) const
{
    return { node.store.syncedState().replica, role, domainOf(node.slot), fmt::format("slot{}", node.slot), {} };
}

FakeNode &FakeCluster::node(int slot)
{
    return *m_nodes.at(static_cast<std::size_t>(slot));
}

int FakeCluster::size() const
{
    return static_cast<int>(m_nodes.size());
}

FakeNode &FakeCluster::addNode(std::optional<std::string> domain)
{
    if (domain) {
        m_domainsBySlot[size()] = std::move(*domain);
    }
    m_nodes.push_back(std::make_unique<FakeNode>(network, checker, size(), ReplicaId{ random.next() | 1 }, random.next()));
    start(size() - 1);
    return *m_nodes.back();
}

FakeNode *FakeCluster::leader()
{
    FakeNode *found = nullptr;
    for (const auto &it : m_nodes) {
        if (it->replica && it->replica->isLeader() && (found == nullptr || it->replica->term() > found->replica->term())) {
            found = it.get();
        }
    }
    return found;
}

void FakeCluster::start(int slot)
{
    auto &it = node(slot);
    it.store.discardUnsyncedChanges();
    it.machine.reset();
    it.inbox.clear();
    it.pausedUntil = {};
    it.replica = handleError([&] { return Replica::create(m_options, it.store, it.machine, it, clock, it.random); },
                             [](const Error &) { return std::unique_ptr<Replica>(); });
    TOUCANDECK_ASSERT(it.replica != nullptr, "a replica starts on an intact store");
}

void FakeCluster::crash(int slot)
{
    node(slot).replica.reset();
    node(slot).store.discardUnsyncedChanges();
}

void FakeCluster::loseDisk(int slot)
{
    auto &it = node(slot);
    crash(slot);
    m_lostDisks[it.store.syncedState().replica] = it.store.syncedState();
    it.store.replaceDisk(ReplicaId{ random.next() | 1 });
    network.setAddress(it.store.syncedState().replica, slot);
}

void FakeCluster::pause(int slot, Duration time)
{
    node(slot).pausedUntil = clock.now() + time;
}

bool FakeCluster::isPaused(int slot)
{
    return node(slot).pausedUntil > clock.now();
}

void FakeCluster::isolate(int slot)
{
    for (int n = 0; n < size(); ++n) {
        network.block(slot, n);
        network.block(n, slot);
    }
}

void FakeCluster::checkConfirmedLeader()
{
    const auto *highest = leader();
    for (const auto &it : m_nodes) {
        if (it->replica && it->replica->isConfirmedLeader() && it.get() != highest) {
            checker.violation(fmt::format("slot {} is a confirmed leader in term {} although slot {} leads in term {}",
                                          it->slot,
                                          it->replica->term().value,
                                          highest->slot,
                                          highest->replica->term().value));
        }
    }
}

void FakeCluster::step()
{
    clock.advance(kStep);
    ++steps;
    network.deliver([this](int slot, const wire::ReplicaMessage &message) { receive(slot, message); });
    for (const auto &it : m_nodes) {
        if (it->replica && !isPaused(it->slot)) {
            runNode(*it, steps % kStepsPerTick == 0);
        }
    }
    checkConfirmedLeader();
}

void FakeCluster::receive(int slot, const wire::ReplicaMessage &message)
{
    auto &it = node(slot);
    if (it.replica && onReceived) {
        onReceived(slot, message);
    }
    if (it.replica && isPaused(slot)) {
        it.inbox.push_back(message);
    } else if (it.replica) {
        it.replica->receive(message);
    }
}

void FakeCluster::runNode(FakeNode &node, bool tick)
{
    for (const auto &it : std::exchange(node.inbox, {})) {
        node.replica->receive(it);
    }
    if (tick) {
        node.replica->tick();
    }
    if (beforeFlush) {
        beforeFlush(node.slot);
    }
    if (node.replica) {
        node.replica->flush();
    }
}

void FakeCluster::run(Duration time)
{
    runUntil([] { return false; }, time);
}

bool FakeCluster::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const auto end = clock.now() + limit;
    while (!condition()) {
        if (clock.now() >= end) {
            return false;
        }
        step();
    }
    return true;
}

bool FakeCluster::propose(int slot, std::string command)
{
    auto &replica = *node(slot).replica;
    const auto ackedBefore = checker.lastAcknowledged();
    const auto index = handleError([&] { return replica.propose(command); }, [](const Error &) { return LogIndex{}; });
    if (!index) {
        return false;
    }
    replica.onOutcome(index, [this, &replica, index, ackedBefore, command = std::move(command)](ProposalOutcome outcome) {
        if (outcome != ProposalOutcome::Applied) {
            return;
        }
        checker.acknowledged(index, command, ackedBefore);
        if (!isDurable(index, command, replica.membership())) {
            checker.violation(fmt::format("'{}' at {} was acknowledged but is not synced on a quorum", command, index.value));
        }
    });
    return true;
}

void FakeCluster::read(int slot)
{
    auto &it = node(slot);
    it.replica->confirmLeadership([this, &it, needed = checker.lastAcknowledged()](Result<void> confirmed) {
        if (!confirmed) {
            return;
        }
        ++confirmedReads;
        if (it.machine.lastApplied() < needed) {
            checker.violation(
                fmt::format("a read saw the log up to {}; {} was acknowledged", it.machine.lastApplied().value, needed.value));
        }
    });
}

bool FakeCluster::holds(const StoredState &state, LogIndex index, const std::string &command) const
{
    if (state.snapshot && state.snapshot->lastIndex >= index) {
        return true;
    }
    return std::any_of(
        state.entries.begin(), state.entries.end(), [&](const LogEntry &it) { return it.index == index && it.data == command; });
}

bool FakeCluster::isSyncedAt(ReplicaId replica, LogIndex index, const std::string &command) const
{
    if (const auto it = m_lostDisks.find(replica); it != m_lostDisks.end()) {
        return holds(it->second, index, command);
    }
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
        return it->store.syncedState().replica == replica && holds(it->store.syncedState(), index, command);
    });
}

bool FakeCluster::isDurable(LogIndex index, const std::string &command, const Membership &membership) const
{
    // Computes the quorum independently of the replica's quorum rule, which this checks.
    std::size_t voters = 0;
    std::size_t holding = 0;
    std::set<std::string> domains;
    std::set<std::string> holdingDomains;
    for (const auto &it : membership.members) {
        if (it.role == ReplicaRole::Learner) {
            continue;
        }
        ++voters;
        domains.insert(it.failureDomain);
        if (isSyncedAt(it.replica, index, command)) {
            ++holding;
            holdingDomains.insert(it.failureDomain);
        }
    }
    return 2 * holding > voters && (domains.size() < 2 || holdingDomains.size() >= 2);
}

} // namespace Toucandeck
