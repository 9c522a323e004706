#include "fleet/membership_repair.h"

#include "fake_cluster.h"

#include <gtest/gtest.h>
#include <numeric>
#include <set>

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
constexpr Duration kAckLimit = 4s;
constexpr Duration kSyncTime = 4s; ///< A controller counts as lost for this long after it is back.

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
    int addController(std::optional<std::string> domain = std::nullopt)
    {
        return cluster.addNode(std::move(domain)).slot;
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
    void loseDisksAndPower(const std::vector<int> &slots, const std::set<int> &gone = {})
    {
        for (int n = 0; n < cluster.size(); ++n) {
            const bool isLost = std::find(slots.begin(), slots.end(), n) != slots.end();
            isLost ? cluster.loseDisk(n) : cluster.crash(n);
        }
        cluster.network.heal();
        m_repairs.clear();
        for (int n = 0; n < cluster.size(); ++n) {
            if (!gone.contains(n)) {
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

    /// Like order(), but sends the order again each second, as an operator does.
    bool repeatOrder(Duration limit)
    {
        const auto end = cluster.clock.now() + limit;
        while (cluster.clock.now() < end) {
            if (order(std::min<Duration>(1s, end - cluster.clock.now()))) {
                return true;
            }
        }
        return false;
    }

    /// Proposes an order as soon as the controllers would accept one.
    void requestOrder()
    {
        m_wantsOrder = true;
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

/// Loses, replaces and cuts off controllers at random, within the number of losses that is tolerated, and then plays a final fault.
class RandomLosses
{
public:
    /// @param countsOutages is true if a controller that is down or cut off counts as a loss, not only one without its disk.
    RandomLosses(std::uint64_t seed, bool countsOutages)
        : m_cluster(seed)
        , m_random(seed)
        , m_countsOutages(countsOutages)
    {
    }

    void play()
    {
        ASSERT_TRUE(m_cluster.runUntil([&] { return m_cluster.isServing(); }, 5s));
        const int steps = 5 + static_cast<int>(m_random.below(40));
        for (int n = 0; n < steps; ++n) {
            restoreDue();
            if (m_random.below(3) == 0) {
                loseOne();
            }
            m_cluster.requestOrder();
            m_cluster.run(std::chrono::milliseconds(50 + m_random.below(600)));
            if (m_countsOutages) {
                ASSERT_TRUE(m_cluster.repeatOrder(kAckLimit))
                    << "no order is acknowledged while no more controllers are lost than tolerated";
            }
        }
        finalFault();
    }

private:
    enum class Kind {
        Power,
        Disk,
        Removal,
        Cut
    };
    struct Loss
    {
        Kind kind;
        int slot;
        TimePoint restoreTime;
        std::optional<TimePoint> restoredAt;
    };

    static bool losesDisk(Kind kind)
    {
        return kind == Kind::Disk || kind == Kind::Removal;
    }

    bool isOver(const Loss &it) const
    {
        return it.restoredAt && m_cluster.cluster.clock.now() - *it.restoredAt > kSyncTime;
    }

    std::size_t lossCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_losses.begin(), m_losses.end(), [this](const Loss &it) { return m_countsOutages || losesDisk(it.kind); }));
    }

    bool isHit(int slot) const
    {
        return m_gone.contains(slot) || std::any_of(m_losses.begin(), m_losses.end(), [slot](const Loss &it) { return it.slot == slot; });
    }

    std::optional<int> pickSlot()
    {
        std::vector<int> slots;
        for (int n = 0; n < m_cluster.cluster.size(); ++n) {
            if (!isHit(n)) {
                slots.push_back(n);
            }
        }
        if (slots.empty()) {
            return std::nullopt;
        }
        auto *leader = m_cluster.cluster.leader();
        if (leader != nullptr && !isHit(leader->slot) && m_random.below(3) == 0) {
            return leader->slot;
        }
        return slots[m_random.below(slots.size())];
    }

    void loseOne()
    {
        const auto slot = pickSlot();
        const auto kind = static_cast<Kind>(m_random.below(4));
        const bool isFree = !m_countsOutages && !losesDisk(kind);
        if (!slot || (!isFree && lossCount() >= kToleratedLosses) || (isFree && m_losses.size() >= 3)) {
            return;
        }
        const auto restoreTime = m_cluster.cluster.clock.now() + std::chrono::milliseconds(m_random.below(6000));
        if (kind == Kind::Cut) {
            m_cluster.cluster.isolate(*slot);
        } else if (losesDisk(kind)) {
            m_cluster.cluster.loseDisk(*slot);
        } else {
            m_cluster.cluster.crash(*slot);
        }
        m_losses.push_back({ kind, *slot, restoreTime, std::nullopt });
    }

    void restoreDue()
    {
        for (auto &it : m_losses) {
            if (!it.restoredAt && m_cluster.cluster.clock.now() >= it.restoreTime) {
                it.restoredAt = m_cluster.cluster.clock.now();
                restore(it);
            }
        }
        for (auto &it : m_losses) {
            // Nothing can be repaired while more controllers are lost than tolerated.
            if (it.restoredAt && m_losses.size() > kToleratedLosses) {
                it.restoredAt = m_cluster.cluster.clock.now();
            }
        }
        std::erase_if(m_losses, [this](const Loss &it) { return isOver(it); });
    }

    void restore(Loss &loss)
    {
        if (loss.kind == Kind::Removal) {
            m_gone.insert(loss.slot);
            loss.slot = m_cluster.addController(m_cluster.cluster.domainOf(loss.slot));
        } else if (loss.kind != Kind::Cut) {
            m_cluster.cluster.start(loss.slot);
        }
        m_cluster.cluster.network.heal();
        for (const auto &it : m_losses) {
            if (it.kind == Kind::Cut && !it.restoredAt) {
                m_cluster.cluster.isolate(it.slot);
            }
        }
    }

    void finalFault()
    {
        std::vector<int> disks;
        while (lossCount() + disks.size() < kToleratedLosses) {
            const auto slot = pickSlot();
            if (!slot) {
                break;
            }
            if (std::find(disks.begin(), disks.end(), *slot) == disks.end()) {
                disks.push_back(*slot);
            }
        }
        std::set<int> gone = m_gone;
        for (auto &it : m_losses) {
            if (!it.restoredAt && it.kind == Kind::Removal) {
                gone.insert(it.slot);
            }
        }
        m_cluster.loseDisksAndPower(disks, gone);
        EXPECT_TRUE(m_cluster.runUntil([&] { return m_cluster.hasAllAcknowledged(); }, kRecoveryLimit)) << "an acknowledged order is gone";
        EXPECT_TRUE(m_cluster.cluster.checker.violations().empty());
    }

    RepairedCluster m_cluster;
    SeededRandom m_random;
    bool m_countsOutages;
    std::vector<Loss> m_losses;
    std::set<int> m_gone;
};

/// 100 seeds, from 1 or from TOUCANDECK_FIRST_SEED.
std::vector<std::uint64_t> seeds()
{
    constexpr std::size_t kSeeds = 100;
    const char *first = std::getenv("TOUCANDECK_FIRST_SEED");
    std::vector<std::uint64_t> all(kSeeds);
    std::iota(all.begin(), all.end(), first == nullptr ? 1 : std::strtoull(first, nullptr, 10));
    return all;
}

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
        it.loseDisksAndPower({ followers[0] }, { followers[3] });
        EXPECT_TRUE(it.runUntil([&] { return it.hasAllAcknowledged(); }, kRecoveryLimit))
            << "an acknowledged order is gone; the disk was lost " << delay / 1ms << " ms after the replacement started";
        EXPECT_TRUE(it.cluster.checker.violations().empty());
    }
}

// Guards against the removal of a voter that is cut off, with the log on its disk, in place of the one whose successor has joined in the
// same failure domain.
TEST(MembershipRepair, AcknowledgedOrdersSurviveTwoLostDisksAfterAReplacementWhileAnotherVoterIsCutOff)
{
    for (Duration delay = kSyncTime; delay <= 2 * kSyncTime; delay += 500ms) {
        RepairedCluster it(11);
        ASSERT_TRUE(it.runUntil([&] { return it.isServing(); }, 5s));
        const auto followers = it.followers();
        it.cluster.isolate(followers[2]);
        it.run(2s);
        it.cluster.loseDisk(followers[3]);
        it.addController(it.cluster.domainOf(followers[3]));
        it.run(delay);
        ASSERT_TRUE(it.order(3s)) << "no order is acknowledged while one controller is cut off";
        it.loseDisksAndPower({ followers[0], followers[1] }, { followers[3] });
        EXPECT_TRUE(it.runUntil([&] { return it.hasAllAcknowledged(); }, kRecoveryLimit))
            << "an acknowledged order is gone; the disks were lost " << delay / 1ms << " ms after the successor started";
        EXPECT_TRUE(it.cluster.checker.violations().empty());
    }
}

// Guards against the removal of a voter that is cut off, with the log on its disk, in place of the one whose successor has joined in
// another failure domain.
TEST(MembershipRepair, AcknowledgedOrdersSurviveTwoLostDisksAfterAReplacementInAnotherFailureDomain)
{
    RepairedCluster it(11);
    ASSERT_TRUE(it.runUntil([&] { return it.isServing(); }, 5s));
    const auto followers = it.followers();
    it.cluster.isolate(followers[2]);
    it.run(2s);
    it.cluster.loseDisk(followers[3]);
    it.addController(it.cluster.domainOf(followers[0]));
    it.run(kSyncTime);
    ASSERT_TRUE(it.order(3s)) << "no order is acknowledged while one controller is cut off";
    it.loseDisksAndPower({ followers[0], followers[1] }, { followers[3] });
    EXPECT_TRUE(it.runUntil([&] { return it.hasAllAcknowledged(); }, kRecoveryLimit)) << "an acknowledged order is gone";
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

// Guards against acknowledged orders being lost, or orders not being acknowledged, when losses and repairs coincide.
TEST(MembershipRepair, AcknowledgedOrdersSurviveRandomToleratedLosses)
{
    for (const auto seed : seeds()) {
        SCOPED_TRACE(seed);
        RandomLosses(seed, true).play();
    }
}

// Guards against acknowledged orders being lost when further controllers are out of reach while the tolerated number of disks is lost.
TEST(MembershipRepair, AcknowledgedOrdersSurviveTheToleratedLostDisksDuringOutages)
{
    for (const auto seed : seeds()) {
        SCOPED_TRACE(seed);
        RandomLosses(seed, false).play();
    }
}

} // namespace Toucandeck
