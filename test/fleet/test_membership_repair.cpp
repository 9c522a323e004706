#include "fleet/membership_repair.h"

#include "fake_cluster.h"

#include <gtest/gtest.h>

namespace Toucandeck
{

namespace
{

using namespace std::chrono_literals;

constexpr int kControllers = 5;
constexpr std::size_t kToleratedLosses = 2;
constexpr Duration kTickInterval = 20ms;
constexpr Duration kRepairInterval = 200ms;
constexpr Duration kJoinInterval = 300ms;
constexpr Duration kRecoveryLimit = 15s;

ReplicaOptions controllerOptions()
{
    ReplicaOptions options;
    options.heartbeat = 100ms;
    options.electionTimeoutMin = 500ms;
    options.electionTimeoutMax = 900ms;
    options.snapshotInterval = 64;
    return options;
}

/// Controllers in virtual time whose membership is repaired by MembershipRepair.
class RepairedCluster
{
public:
    explicit RepairedCluster(std::uint64_t seed)
        : cluster(seed, kControllers, controllerOptions(), { "a", "b", "c", "d", "e" })
    {
        cluster.onReceived = [this](int slot, const wire::ReplicaMessage &message) {
            if (auto *it = repairOf(slot)) {
                it->onMessage(ReplicaId{ message.from() });
            }
        };
    }

    /// Starts a controller with an empty disk at an address of its own.
    int addController()
    {
        return cluster.addNode().slot;
    }

    void run(Duration time)
    {
        const auto end = cluster.clock.now() + time;
        while (cluster.clock.now() < end) {
            step();
        }
    }

    bool runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const auto end = cluster.clock.now() + limit;
        while (!condition()) {
            if (cluster.clock.now() >= end) {
                return false;
            }
            step();
        }
        return true;
    }

    bool isServing()
    {
        auto *leader = cluster.leader();
        return leader != nullptr && leader->replica->isLeaderReady() && leader->replica->isConfirmedLeader();
    }

    std::size_t voterCount()
    {
        return cluster.leader()->replica->membership().voterCount();
    }

    /// Slots of the running followers, in order.
    std::vector<int> followers()
    {
        std::vector<int> slots;
        for (int n = 0; n < cluster.size(); ++n) {
            if (cluster.node(n).replica && &cluster.node(n) != cluster.leader()) {
                slots.push_back(n);
            }
        }
        return slots;
    }

    /// Loses the disks of @p slots while all other controllers lose power, and starts all but @p gone again.
    void loseDisksAndPower(const std::vector<int> &slots, std::optional<int> gone = std::nullopt)
    {
        for (int n = 0; n < cluster.size(); ++n) {
            const bool isLost = std::find(slots.begin(), slots.end(), n) != slots.end();
            isLost ? cluster.loseDisk(n) : cluster.crash(n);
        }
        cluster.network.heal();
        m_repairs.clear();
        for (int n = 0; n < cluster.size(); ++n) {
            if (n != gone) {
                cluster.start(n);
            }
        }
    }

    /// True if a leader has everything that was acknowledged.
    bool hasAllAcknowledged()
    {
        return isServing() && cluster.leader()->machine.lastApplied() >= cluster.checker.lastAcknowledged();
    }

    /// Proposes an order as soon as the controllers would accept one; false if they acknowledge none within @p limit.
    bool order(Duration limit)
    {
        const auto before = cluster.checker.acknowledgedCount();
        m_wantsOrder = true;
        return runUntil([&] { return cluster.checker.acknowledgedCount() > before; }, limit);
    }

    FakeCluster cluster;

private:
    struct SlotRepair
    {
        Replica *replica;
        bool leads;
        std::unique_ptr<MembershipRepair> repair;
    };

    MembershipRepair *repairOf(int slot)
    {
        auto *replica = cluster.node(slot).replica.get();
        if (replica == nullptr) {
            m_repairs.erase(slot);
            return nullptr;
        }
        auto &it = m_repairs[slot];
        if (it.replica != replica) {
            it = { replica, false, std::make_unique<MembershipRepair>(cluster.clock, replica->id(), kToleratedLosses) };
        }
        return it.repair.get();
    }

    void step()
    {
        cluster.step();
        const auto sinceStart = cluster.clock.now().time_since_epoch();
        if (sinceStart % kTickInterval != Duration::zero()) {
            return;
        }
        for (int n = 0; n < cluster.size(); ++n) {
            if (auto *repair = repairOf(n)) {
                tick(n, *repair, sinceStart % kRepairInterval == Duration::zero());
            }
        }
        if (sinceStart % kJoinInterval == Duration::zero()) {
            sendJoinRequests();
        }
    }

    void tick(int slot, MembershipRepair &repair, bool repairDue)
    {
        auto &replica = *cluster.node(slot).replica;
        if (m_repairs[slot].leads != replica.isLeaderReady()) {
            m_repairs[slot].leads = replica.isLeaderReady();
            repair.onLeadershipChanged();
        }
        if (!replica.isLeaderReady()) {
            return;
        }
        if (m_wantsOrder && repair.isDurable(replica.membership())) {
            m_wantsOrder = !cluster.propose(slot, fmt::format("order={}", ++m_orders));
        }
        if (repairDue && replica.isMembershipCommitted()) {
            if (const auto next = repair.nextMembership(replica.membership())) {
                handleError(
                    [&]() -> Result<void> {
                        BOOST_LEAF_CHECK(replica.proposeMembership(*next));
                        return {};
                    },
                    [](const Error &) {});
            }
        }
    }

    void sendJoinRequests()
    {
        auto *leader = cluster.leader();
        if (leader == nullptr || !leader->replica->isLeaderReady()) {
            return;
        }
        for (int n = 0; n < cluster.size(); ++n) {
            const auto &it = cluster.node(n);
            if (it.replica && !cluster.network.isBlocked(n, leader->slot) && !leader->replica->membership().isVoter(it.replica->id())) {
                repairOf(leader->slot)->onJoinRequest(cluster.memberOf(it, ReplicaRole::Learner));
            }
        }
    }

    std::map<int, SlotRepair> m_repairs;
    bool m_wantsOrder = false;
    int m_orders = 0;
};

} // namespace

// Guards against an acknowledged order being lost: a silent voter was removed before its successor held the log, so that the loss of two
// disks left two of four voters, for good.
TEST(MembershipRepair, AcknowledgedOrdersSurviveTwoLostDisksWhileASilentVoterIsReplaced)
{
    for (Duration delay = 0ms; delay <= 4s; delay += 50ms) {
        RepairedCluster it(7);
        ASSERT_TRUE(it.runUntil([&] { return it.isServing(); }, 5s));
        const int silent = it.followers().back();
        it.cluster.crash(silent);
        it.run(2s);
        it.addController();
        it.run(delay);
        ASSERT_TRUE(it.order(3s)) << "no order is acknowledged while one controller is down";
        const auto followers = it.followers();
        it.loseDisksAndPower({ followers[0], followers[1] });
        EXPECT_TRUE(it.runUntil([&] { return it.hasAllAcknowledged(); }, kRecoveryLimit))
            << "an acknowledged order is gone; the disks were lost " << delay / 1ms << " ms after a successor appeared";
        EXPECT_TRUE(it.cluster.checker.violations().empty());
    }
}

// Guards against the removal of a voter that is cut off, with the log on its disk, in place of one that is gone for good.
TEST(MembershipRepair, AcknowledgedOrdersSurviveALostDiskWhileOneVoterIsGoneAndAnotherCutOff)
{
    for (Duration delay = 0ms; delay <= 4s; delay += 50ms) {
        RepairedCluster it(11);
        ASSERT_TRUE(it.runUntil([&] { return it.isServing(); }, 5s));
        const auto followers = it.followers();
        it.cluster.isolate(followers[2]);
        it.run(2s);
        it.cluster.loseDisk(followers[3]);
        it.addController();
        it.run(delay);
        ASSERT_TRUE(it.order(3s)) << "no order is acknowledged while two controllers are lost";
        it.loseDisksAndPower({ followers[0] }, followers[3]);
        EXPECT_TRUE(it.runUntil([&] { return it.hasAllAcknowledged(); }, kRecoveryLimit))
            << "an acknowledged order is gone; the disk was lost " << delay / 1ms << " ms after the replacement started";
        EXPECT_TRUE(it.cluster.checker.violations().empty());
    }
}

// Guards against a repair that leaves too few voters when one controller after the other returns with an empty disk.
TEST(MembershipRepair, AcknowledgedOrdersSurviveASecondLostDiskWhileTheFirstIsReplaced)
{
    for (Duration delay = 0ms; delay <= 3s; delay += 50ms) {
        RepairedCluster it(13);
        ASSERT_TRUE(it.runUntil([&] { return it.isServing(); }, 5s));
        const auto followers = it.followers();
        it.cluster.loseDisk(followers[0]);
        it.cluster.start(followers[0]);
        it.run(delay);
        ASSERT_TRUE(it.order(3s)) << "no order is acknowledged while a controller is repaired";
        it.loseDisksAndPower({ followers[1] });
        EXPECT_TRUE(it.runUntil([&] { return it.hasAllAcknowledged(); }, kRecoveryLimit))
            << "an acknowledged order is gone; the second disk was lost " << delay / 1ms << " ms after the first";
        EXPECT_TRUE(it.runUntil([&] { return it.isServing() && it.voterCount() == kControllers; }, kRecoveryLimit))
            << "the membership is not repaired";
    }
}

// Guards against acknowledging an order to so few voters that the tolerated losses leave no quorum.
TEST(MembershipRepair, AnOrderIsDurableOnlyIfTheToleratedLossesLeaveAQuorum)
{
    ManualClock clock;
    const MembershipRepair repair(clock, ReplicaId{ 1 }, kToleratedLosses);
    Membership membership;
    for (std::uint64_t n = 1; n <= 6; ++n) {
        membership.members.push_back({ ReplicaId{ n }, ReplicaRole::Voter, fmt::format("domain{}", n), fmt::format("10.0.0.{}", n), {} });
        EXPECT_EQ(repair.isDurable(membership), n >= 5) << n << " voters";
    }
}

} // namespace Toucandeck
