#pragma once

#include "consensus/memory_log_store.h"
#include "consensus/replica.h"

#include "fake_network.h"
#include "history_checker.h"

#include <memory>
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

/// Replicas over a fake network in virtual time, with a client that checks what it is told.
class FakeCluster
{
public:
    /// Starts @p count voters, slot n in the failure domain domains[n % size].
    FakeCluster(std::uint64_t seed, int count, ReplicaOptions options = {}, std::vector<std::string> domains = { "a", "b", "c", "d" });

    /// One millisecond: delivers messages, runs timers every 5 ms and flushes.
    void step();
    void run(Duration time);

    /// Runs until the condition holds; false if it did not within the time.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    FakeNode &node(int slot);
    int size() const;

    /// Adds an empty VM whose replica is no member.
    FakeNode &addNode();

    /// Running node that leads in the highest term; null if there is none.
    FakeNode *leader();
    Member memberOf(const FakeNode &node, ReplicaRole role) const;

    void start(int slot);
    void crash(int slot); ///< Ends the process and loses unsynced data.
    void loseDisk(int slot); ///< Ends the process; the disk comes back empty under a new identity.
    void pause(int slot, Duration time);
    bool isPaused(int slot);

    /// Cuts the slot off in both directions.
    void isolate(int slot);

    /// Proposes at the node and checks the acknowledgement. False if the node refused.
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
    std::uint64_t readsConfirmed = 0;

    /// Called for each running slot after delivery and before flush(); may crash it.
    std::function<void(int slot)> beforeFlush;

private:
    void receive(int slot, const wire::ReplicaMessage &message);
    void runNode(FakeNode &node, bool tick);
    bool isSyncedAt(ReplicaId replica, LogIndex index, const std::string &command) const;
    bool holds(const StoredState &state, LogIndex index, const std::string &command) const;

    std::string domainOf(int slot) const;
    void checkSureLeader();

    ReplicaOptions m_options;
    std::vector<std::string> m_domains;
    std::vector<std::unique_ptr<FakeNode>> m_nodes;
    std::map<ReplicaId, StoredState> m_lostDisks; ///< What a lost disk held; counts as synced before the loss.
};

} // namespace Toucandeck
