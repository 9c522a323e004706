#pragma once

#include "consensus/memory_log_store.h"
#include "consensus/replica.h"

#include "fake_network.h"
#include "history_checker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// VM with one replica: its disk, process and message queue.
class FakeNode : public ReplicaTransport
{
public:
    FakeNode(FakeNetwork &network, HistoryChecker &checker, int slot, ReplicaId replica, std::uint64_t seed);
    void send(ReplicaId to, const wire::ReplicaMessage &message) override;

    FakeNetwork &network;
    int slot;
    MemoryLogStore store;
    RecordingMachine machine;
    SeededRandom random;
    std::unique_ptr<Replica> replica; ///< Null while the process does not run.
    TimePoint pausedUntil;
    std::vector<wire::ReplicaMessage> inbox; ///< Filled while the process is paused.
};

/// Replicas over a fake network in virtual time, with a client that checks the responses it gets.
class FakeCluster
{
public:
    /// Starts @p count voters, slot n in the failure domain domains[n % size].
    FakeCluster(std::uint64_t seed, int count, ReplicaOptions options = {}, std::vector<std::string> domains = { "a", "b", "c", "d" });

    /// Advances the clock by one millisecond: delivers messages, runs timers every 5 ms and flushes.
    void step();
    void run(Duration time);

    /// Runs until the condition holds; returns false if it does not within @p limit.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    FakeNode &node(int slot);
    int size() const;

    /// Adds a VM with an empty disk whose replica is not a member. Without @p domain its failure domain follows from its slot.
    FakeNode &addNode(std::optional<std::string> domain = std::nullopt);

    /// Running node that leads in the highest term; null if there is none.
    FakeNode *leader();
    std::string domainOf(int slot) const;
    Member memberOf(const FakeNode &node, ReplicaRole role) const;

    void start(int slot);
    void crash(int slot); ///< Terminates the process and discards unsynced data.
    void loseDisk(int slot); ///< Terminates the process and replaces its disk by an empty one with a new replica id.
    void pause(int slot, Duration time);
    bool isPaused(int slot);

    /// Cuts the slot off in both directions.
    void isolate(int slot);

    /// Proposes at the node and checks the acknowledgement. Returns false if the node refused.
    bool propose(int slot, std::string command);

    /// Confirms the leadership of the node and checks that its state then has all acknowledged commands.
    void read(int slot);

    /// True if the entry at the index is synced on a quorum of the membership.
    bool isDurable(LogIndex index, const std::string &command, const Membership &membership) const;

    ManualClock clock;
    SeededRandom random;
    FakeNetwork network;
    HistoryChecker checker;
    std::uint64_t steps = 0;
    std::uint64_t confirmedReads = 0;

    /// Called for each running slot after delivery and before flush(); may crash it.
    std::function<void(int slot)> beforeFlush;

    /// Called for each message that a running process receives.
    std::function<void(int slot, const wire::ReplicaMessage &)> onReceived;

private:
    void receive(int slot, const wire::ReplicaMessage &message);
    void runNode(FakeNode &node, bool tick);
    bool isSyncedAt(ReplicaId replica, LogIndex index, const std::string &command) const;
    bool holds(const StoredState &state, LogIndex index, const std::string &command) const;

    void checkConfirmedLeader();

    ReplicaOptions m_options;
    std::vector<std::string> m_domains;
    std::map<int, std::string> m_domainsBySlot; ///< Of the VMs that were added with a domain.
    std::vector<std::unique_ptr<FakeNode>> m_nodes;
    std::map<ReplicaId, StoredState> m_lostDisks; ///< Synced state of each lost disk; it counts as synced before the loss.
};

} // namespace Toucandeck
