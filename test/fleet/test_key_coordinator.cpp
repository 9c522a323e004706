// Guards against two holders of a key, keys of a lost holder that are never reassigned, and released keys assigned to the wrong holder.
#include "fleet/key_coordinator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const std::string kService = "svc";

/// A coordinator whose proposals commit immediately, and the holders that it is given.
class Fixture
{
public:
    Fixture()
        : m_coordinator(
            m_clock, m_logger, m_state, m_planner, options(), [this](const wire::KeyTable &table, const std::function<void(bool)> &done) {
                wire::FleetCommand command;
                *command.mutable_set_keys() = table;
                const auto commit = [this, command, done] {
                    const auto before = revision();
                    m_state.apply(LogIndex{ ++m_index }, command.SerializeAsString());
                    done(revision() != before);
                };
                if (m_delaysCommits) {
                    m_delayedCommits.push_back(commit);
                } else {
                    commit();
                }
            })
    {
    }

    static KeyLeaseOptions options()
    {
        KeyLeaseOptions it;
        it.leaseDuration = seconds(5);
        it.settlingTime = milliseconds(0);
        return it;
    }

    void add(const std::string &name, double capacity = 50)
    {
        m_holders.push_back({ name, "ip-" + name, kService, capacity, {}, true });
    }

    KeyHolder &holder(const std::string &name)
    {
        return *std::find_if(m_holders.begin(), m_holders.end(), [&](const auto &it) { return it.incarnation == name; });
    }

    void remove(const std::string &name)
    {
        std::erase_if(m_holders, [&](const auto &it) { return it.incarnation == name; });
    }

    void tick(milliseconds time = milliseconds(100))
    {
        m_clock.advance(time);
        m_coordinator.tick({ kService }, m_holders);
    }

    std::vector<KeyRow> granted(const std::string &name)
    {
        std::vector<KeyRow> rows;
        const auto grant = m_coordinator.grantLease(kService, name);
        for (const auto &it : grant.rows()) {
            rows.push_back(fromWire(it));
        }
        return rows;
    }

    const KeyRow &at(std::uint32_t key) const
    {
        return m_state.tables().at(kService).keys.at(key);
    }

    std::uint64_t revision() const
    {
        const auto it = m_state.tables().find(kService);
        return it == m_state.tables().end() ? 0 : it->second.revision;
    }

    void release(const KeyRow &row, const std::string &token)
    {
        wire::FreedKeys keys;
        keys.set_incarnation(row.holder);
        keys.set_fence(row.fencingToken);
        keys.set_from(row.range.from);
        keys.set_to(row.range.to);
        keys.set_handover(token);
        m_coordinator.onReleased(kService, keys);
    }

    ManualClock m_clock;
    NullLogger m_logger;
    FleetState m_state;
    SlicePlanner m_planner;
    std::uint64_t m_index = 0;
    bool m_delaysCommits = false;
    std::vector<std::function<void()>> m_delayedCommits;
    std::vector<KeyHolder> m_holders;
    KeyCoordinator m_coordinator;
};

} // namespace

TEST(KeyCoordinator, PartsTheFirstKeysAmongAllHolders)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    EXPECT_EQ(it.at(0).holder, "a");
    EXPECT_EQ(it.at(kKeyCount - 1).holder, "b");
}

TEST(KeyCoordinator, KeepsALostHoldersKeysUntilItsLeaseHasExpiredByAnyClock)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    it.m_clock.advance(seconds(20)); // Leases possibly granted by an earlier leader have expired.
    it.granted("a");
    it.remove("a");
    it.tick(milliseconds(5100)); // Within the permitted drift of the holder's clock.
    EXPECT_EQ(it.at(0).holder, "a");
    it.tick(milliseconds(200));
    EXPECT_EQ(it.at(0).holder, "b");
    EXPECT_EQ(it.at(0).handover, "");
}

TEST(KeyCoordinator, ReassignsTheKeysOfATerminatedProcessAtOnce)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    it.granted("a");
    it.m_coordinator.onTerminated("a");
    it.tick();
    EXPECT_EQ(it.at(0).holder, "b");
}

TEST(KeyCoordinator, ALaterIncarnationAtTheSamePlaceGetsTheKeysAtOnce)
{
    Fixture it;
    it.add("a@1");
    it.add("b@1");
    it.tick();
    it.m_coordinator.onLeadershipGained();
    it.remove("a@1");
    it.add("a@2");
    it.holder("a@2").router = "ip-a@1";
    it.m_coordinator.onIncarnationAnnounced("ip-a@1", "a@2");
    it.m_coordinator.onIncarnationAnnounced("ip-b@1", "b@0"); // Delayed and earlier: terminates nothing.
    it.tick();
    EXPECT_EQ(it.at(0).holder, "a@2");
    EXPECT_EQ(it.at(kKeyCount - 1).holder, "b@1");
}

TEST(KeyCoordinator, ANewLeaderWaitsOutLeasesThatItDoesNotKnow)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    it.m_clock.advance(seconds(20));
    it.m_coordinator.onLeadershipGained();
    it.remove("a");
    it.tick(milliseconds(5000));
    EXPECT_EQ(it.at(0).holder, "a");
    it.tick(milliseconds(300));
    EXPECT_EQ(it.at(0).holder, "b");
}

TEST(KeyCoordinator, MovesTheKeysOfADrainingHolderWithItsHandover)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    const auto row = it.at(0);
    it.holder("a").isEligible = false;
    it.tick();
    EXPECT_TRUE(it.granted("a").empty());
    EXPECT_EQ(it.at(0).holder, "a");
    it.release(row, "token");
    it.tick();
    EXPECT_EQ(it.at(0).holder, "b");
    EXPECT_EQ(it.at(0).handover, "token");
    EXPECT_GT(it.at(0).fencingToken, row.fencingToken);
}

TEST(KeyCoordinator, GivesEachPartOfAReleasedRangeToItsReceiver)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.add("c");
    it.tick();
    // All demand is for the last keys of one holder.
    const auto row = it.at(0);
    for (std::uint32_t key = row.range.to - 109; key <= row.range.to; ++key) {
        it.holder("a").demand.push_back({ key, 1 });
    }
    it.tick(seconds(3));
    const auto kept = it.granted("a");
    ASSERT_EQ(kept.size(), 1U);
    KeyRow released = row;
    released.range = { kept[0].range.to + 1, row.range.to };
    it.release(released, "token");
    it.tick();
    EXPECT_EQ(it.at(released.range.from).holder, "c");
    EXPECT_EQ(it.at(released.range.to).holder, "b");
}

TEST(KeyCoordinator, IgnoresADelayedReleaseOfKeysThatWereGrantedAgain)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    const auto row = it.at(0);
    it.holder("a").isEligible = false;
    it.tick();
    it.release(row, "token");
    it.tick();
    it.holder("a").isEligible = true;
    it.holder("b").isEligible = false;
    it.tick();
    it.release(it.at(0), "back");
    it.tick();
    ASSERT_EQ(it.at(0).holder, "a");
    it.release(row, "token"); // A delayed announcement.
    EXPECT_FALSE(it.granted("a").empty());
    it.holder("b").isEligible = true;
    it.tick();
    EXPECT_EQ(it.at(0).holder, "a");
}

TEST(KeyCoordinator, LeavesKeysInPlaceWhileNoHolderIsBusy)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    it.holder("a").demand = { { 0, 12 } };
    it.tick(seconds(10));
    EXPECT_EQ(it.m_coordinator.pendingReleaseCount(), 0U);
}

// Loss of a failure domain: the keys of its holders must not all go to the holder that was least loaded before.
TEST(KeyCoordinator, SpreadsTheKeysOfSeveralLostHolders)
{
    Fixture it;
    for (const auto *name : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
        it.add(name);
    }
    it.tick();
    it.remove("a");
    it.remove("b");
    it.remove("c");
    it.remove("d");
    it.tick(seconds(6));
    std::map<std::string, std::uint32_t> keys;
    for (const auto &row : it.m_state.tables().at(kService).keys.rows()) {
        keys[row.holder] += row.range.size();
    }
    ASSERT_EQ(keys.size(), 4U);
    for (const auto &[holder, n] : keys) {
        EXPECT_LE(n, kKeyCount / 4 * 3 / 2) << holder;
    }
}

TEST(KeyCoordinator, ReportsHoldersWhoseGrantsHaveChanged)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    EXPECT_EQ(it.m_coordinator.takeChangedHolders(), (std::set<std::string>{ "a", "b" }));
    it.holder("a").isEligible = false;
    it.tick();
    EXPECT_EQ(it.m_coordinator.takeChangedHolders(), std::set<std::string>{ "a" });
    it.release(it.at(0), "token");
    it.tick();
    EXPECT_EQ(it.m_coordinator.takeChangedHolders(), std::set<std::string>{ "b" });
}

RC_GTEST_PROP(KeyCoordinator, GrantsNeverNameAKeyTwiceWithinALease, ())
{
    Fixture it;
    const std::vector<std::string> names{ "a", "b", "c", "d" };
    for (const auto &name : names) {
        it.add(name);
    }
    // Keys of each holder, and their lease expiry by the slowest permitted clock.
    std::map<std::string, std::pair<TimePoint, std::vector<KeyRow>>> held;
    const auto steps = *rc::gen::inRange(20, 120);
    for (int i = 0; i < steps; ++i) {
        const auto &name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
        const auto known = std::any_of(it.m_holders.begin(), it.m_holders.end(), [&](const auto &h) { return h.incarnation == name; });
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
            it.m_coordinator.onLeadershipGained();
            break;
        case 1:
            if (known) {
                it.remove(name);
            } else {
                it.add(name);
            }
            break;
        case 2:
            if (known) {
                it.holder(name).isEligible = !it.holder(name).isEligible;
            }
            break;
        case 3: // The holder releases all keys that its grant no longer names.
            if (known) {
                const auto rows = it.granted(name);
                for (const auto &row : held[name].second) {
                    const bool kept = std::any_of(rows.begin(), rows.end(), [&](const auto &r) { return r.range.overlaps(row.range); });
                    if (!kept) {
                        it.release(row, "t");
                    }
                }
                held[name] = { it.m_clock.now() + milliseconds(5100), rows };
            }
            break;
        default:
            if (known) {
                const auto rows = it.granted(name);
                for (const auto &[other, grant] : held) {
                    if (other == name || it.m_clock.now() >= grant.first) {
                        continue;
                    }
                    for (const auto &mine : rows) {
                        for (const auto &theirs : grant.second) {
                            RC_ASSERT(!mine.range.overlaps(theirs.range));
                        }
                    }
                }
                auto &entry = held[name];
                if (rows.size() >= entry.second.size() || it.m_clock.now() >= entry.first) {
                    entry = { it.m_clock.now() + milliseconds(5100), rows };
                }
            }
        }
        it.tick(milliseconds(*rc::gen::inRange(10, 2000)));
    }
}

// The lost holder got a lease on the keys after they were proposed for another one; both held them (prove_grants, seed 541).
TEST(KeyCoordinator, AHolderThatReturnsWhileItsKeysAreProposedForAnotherOneGetsNoLeaseOnThem)
{
    Fixture it;
    it.add("a");
    it.add("b");
    it.tick();
    ASSERT_FALSE(it.granted("b").empty());
    it.m_delaysCommits = true;
    it.remove("b");
    it.tick(seconds(6)); // The lease of the lost holder has expired.
    ASSERT_EQ(it.m_delayedCommits.size(), 1U);
    it.add("b");
    EXPECT_TRUE(it.granted("b").empty());
    it.m_delayedCommits[0]();
    EXPECT_EQ(it.at(kKeyCount - 1).holder, "a");
    EXPECT_TRUE(it.granted("b").empty());
}

// Its keys were unserved until the lease had expired (replace_with_reuse on sgct-patrol, trouble-2).
TEST(KeyCoordinator, AProcessOfAnotherServiceAtTheAddressShowsThatTheHolderHasTerminated)
{
    Fixture it;
    it.add("a@1");
    it.add("b@1");
    it.tick();
    ASSERT_FALSE(it.granted("b@1").empty());
    it.remove("b@1");
    it.tick();
    EXPECT_EQ(it.at(kKeyCount - 1).holder, "b@1");
    it.m_coordinator.onIncarnationAnnounced("ip-b@1", "other@2");
    it.tick();
    EXPECT_EQ(it.at(kKeyCount - 1).holder, "a@1");
}

// Failure: the leading controller kept a state for each name that a keyed service ever had in a manifest.
TEST(KeyCoordinator, ForgetsServicesThatAreNoLongerKeyed)
{
    Fixture fixture;
    for (int i = 0; i < 5000; ++i) {
        fixture.m_coordinator.tick({ "keyed-" + std::to_string(i) }, {});
        ASSERT_EQ(fixture.m_coordinator.serviceCount(), 1U);
    }
}
