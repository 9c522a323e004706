// Guards against keys that are granted longer than their lease, late heartbeats of an earlier incarnation, and calls for a draining
// backend server.
#include "gateway/local_instance.h"

#include "gateway/fake_grant_port.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class LocalInstanceTest : public testing::Test
{
protected:
    LocalInstanceTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_instance(*m_loop, m_logger, m_grantPort, { "10.0.0.1:80", "svc" }, milliseconds(870))
    {
        InstancePolicy policy;
        policy.hasManifest = true;
        policy.keyed = true;
        m_instance.setPolicy(policy);
    }

    static Heartbeat beat(std::int64_t born, std::uint64_t sequence)
    {
        Heartbeat it;
        it.instance = "i";
        it.startUnixMs = born;
        it.sequence = sequence;
        it.service = "svc";
        it.address = "10.0.0.1:80";
        it.slots = 9;
        return it;
    }

    /// Sets the services that the manifest names.
    void setServices(const std::map<std::string, ServiceSpec> &services)
    {
        m_instance.setServiceLookup([&services](const std::string &name) {
            const auto it = services.find(name);
            return it == services.end() ? nullptr : &it->second;
        });
    }

    /// The answer, if it was not delayed.
    std::optional<std::optional<HeartbeatAnswer>> send(const Heartbeat &it)
    {
        m_answer.reset();
        m_instance.handleHeartbeat(it, [this](std::optional<HeartbeatAnswer> answer) { m_answer = std::move(answer); });
        return m_answer;
    }

    /// The controllers have recorded that these incarnations leave.
    void record(const std::vector<std::string> &incarnations)
    {
        wire::RecordedDepartures departures;
        departures.mutable_incarnations()->Add(incarnations.begin(), incarnations.end());
        m_instance.applyDepartures(departures);
    }

    /// Gives notice for a process with this id.
    void deregister(const std::string &instance, std::optional<std::int64_t> startUnixMs = std::nullopt)
    {
        m_confirmation.reset();
        m_instance.deregister({ instance, startUnixMs, {}, {} }, [this](bool isRecorded) { m_confirmation = isRecorded; });
    }

    void
    lease(std::uint32_t from, std::uint32_t to, std::uint64_t fencingToken, milliseconds duration = seconds(5), std::uint64_t sequence = 0)
    {
        wire::LeaseGrant grant;
        grant.set_sequence(sequence);
        grant.set_incarnation(m_instance.report().incarnation());
        grant.set_duration_ms(static_cast<std::uint32_t>(duration.count()));
        auto *row = grant.add_rows();
        row->set_from(from);
        row->set_to(to);
        row->set_holder(grant.incarnation());
        row->set_fence(fencingToken);
        m_instance.applyLease(grant, m_clock.now());
    }

    wire::CallReason refusalOf(std::uint32_t key) const
    {
        Call call;
        call.service = "svc";
        call.key = key;
        return m_instance.refusal(call);
    }

    ManualClock m_clock;
    RecordingLogger m_logger;
    std::unique_ptr<EventLoop> m_loop;
    FakeGrantPort m_grantPort;
    LocalInstance m_instance;
    std::optional<std::optional<HeartbeatAnswer>> m_answer;
    std::optional<bool> m_confirmation; ///< Of the latest notice.
};

} // namespace

TEST_F(LocalInstanceTest, AnswersAWaitingHeartbeatWhenTheLeaseComes)
{
    EXPECT_FALSE(send(beat(1, 1)));
    lease(0, 99, 7);
    ASSERT_TRUE(m_answer && *m_answer);
    EXPECT_EQ((*m_answer)->rows.front().fencingToken, 7U);
    EXPECT_EQ(refusalOf(50), wire::NONE);
    EXPECT_EQ(refusalOf(100), wire::NOT_HOLDER);
}

TEST_F(LocalInstanceTest, GrantsHoldsThatEndBeforeTheLeaseByASlowClock)
{
    send(beat(1, 1));
    lease(0, 99, 7);
    m_clock.advance(seconds(2));
    const auto answer = send(beat(1, 2));
    ASSERT_TRUE(answer && *answer);
    EXPECT_LT((*answer)->holdTime * 1.02, seconds(3));
}

TEST_F(LocalInstanceTest, RenewsNothingWithoutALease)
{
    send(beat(1, 1));
    lease(0, 99, 7);
    m_clock.advance(seconds(6));
    auto it = beat(1, 2);
    it.holds = { { { 0, 99 }, 6 } };
    const auto answer = send(it);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(*answer);
    EXPECT_EQ(refusalOf(50), wire::NOT_HOLDER);
}

// Failure: a fast backend server that replaces a slow one gets few keys, since the speed of the slow one is reported for it.
TEST_F(LocalInstanceTest, ReportsNoSpeedOfAFormerIncarnation)
{
    send(beat(1, 1));
    m_instance.setSpeed(400);
    send(beat(1, 2));
    EXPECT_EQ(m_instance.report().speed_permille(), 400U);
    send(beat(2, 1));
    EXPECT_EQ(m_instance.report().speed_permille(), 0U);
}

TEST_F(LocalInstanceTest, IgnoresLateHeartbeats)
{
    send(beat(5, 3));
    send(beat(5, 2));
    send(beat(4, 9));
    EXPECT_EQ(m_instance.report().incarnation(), "i@5");
    EXPECT_EQ(
        std::count_if(m_logger.entries().begin(), m_logger.entries().end(), [](const auto &it) { return it.name == "heartbeat_ignored"; }),
        2);
}

TEST_F(LocalInstanceTest, IgnoresHeartbeatsForAnotherAddress)
{
    for (const auto *address : { "10.0.0.2:80", "10.0.0.1:81", "10.0.0.1:0", "10.0.0.1:65616", "10.0.0.1", "" }) {
        auto it = beat(1, 1);
        it.address = address;
        send(it);
        EXPECT_FALSE(m_instance.isPresent()) << address;
    }
}

// Failure: a heartbeat of another writer, for this address but an unknown service, takes the keys of the backend server there.
TEST_F(LocalInstanceTest, IgnoresHeartbeatsForAnUnknownService)
{
    const std::map<std::string, ServiceSpec> services{ { "svc", {} }, { "next", {} } };
    setServices(services);
    send(beat(1, 1));
    lease(0, 99, 7);
    auto it = beat(2, 1);
    it.instance = "odd";
    it.service = "unknown";
    const auto answer = send(it);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(*answer);
    EXPECT_EQ(m_instance.report().incarnation(), "i@1");
    EXPECT_EQ(refusalOf(50), wire::NONE);
    it.service = "next"; // The address of a backend server that has ended may belong to another service.
    send(it);
    EXPECT_EQ(m_instance.report().incarnation(), "i@1") << "it may be running";
    m_clock.advance(InstanceCheck::kServiceChangeSilence);
    send(it);
    EXPECT_EQ(m_instance.report().incarnation(), "odd@2");
}

// Failure: before the manifest, a heartbeat without lists of keys was taken for one of a service that is divided by key.
TEST_F(LocalInstanceTest, AHeartbeatWithoutKeysWaitsForTheManifest)
{
    std::map<std::string, ServiceSpec> services;
    setServices(services);
    auto it = beat(1, 1);
    it.listsKeys = false;
    send(it);
    EXPECT_FALSE(m_instance.isPresent());
    it.draining = true;
    bool unconfirmed = false;
    m_instance.handleHeartbeat(
        it, [](const auto &) {}, [&] { unconfirmed = true; });
    EXPECT_TRUE(unconfirmed);
    it.draining = false;
    send(it);
    services["svc"].keyed = true;
    m_instance.onManifestChanged();
    EXPECT_FALSE(m_instance.isPresent());
    services.clear();
    send(it);
    services["svc"] = {};
    m_clock.advance(seconds(1));
    m_instance.onManifestChanged();
    EXPECT_FALSE(m_instance.isPresent()) << "the next heartbeat is overdue";
    services.clear();
    send(it);
    for (int i = 0; i < 3; ++i) {
        m_clock.advance(milliseconds(400));
        m_instance.onManifestChanged();
    }
    services["svc"] = {};
    m_instance.onManifestChanged();
    EXPECT_FALSE(m_instance.isPresent()) << "other manifests do not make it newer";
    services.clear();
    send(it);
    services["svc"] = {};
    m_instance.onManifestChanged();
    EXPECT_TRUE(m_instance.isPresent());
    services.clear();
    it.sequence = 2;
    it.draining = true;
    send(it);
    EXPECT_EQ(m_instance.report().state(), wire::DRAINING) << "its service was dropped";
}

TEST_F(LocalInstanceTest, AcceptsTheDrainOfABackendServerWhoseServiceWasRemoved)
{
    send(beat(1, 1));
    const std::map<std::string, ServiceSpec> services;
    setServices(services);
    auto it = beat(1, 2);
    it.draining = true;
    send(it);
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
}

TEST_F(LocalInstanceTest, ANewIncarnationHoldsNothingAndTerminatesTheOneBefore)
{
    send(beat(1, 1));
    lease(0, 99, 7);
    send(beat(2, 1));
    EXPECT_EQ(m_instance.report().ended(), "i@1");
    EXPECT_EQ(refusalOf(50), wire::NOT_HOLDER);
}

TEST_F(LocalInstanceTest, ALeaseOfAnEarlierIncarnationIsIgnored)
{
    send(beat(1, 1));
    wire::LeaseGrant grant;
    grant.set_incarnation("i@1");
    grant.set_duration_ms(5000);
    send(beat(2, 1));
    m_instance.applyLease(grant, m_clock.now());
    EXPECT_EQ(refusalOf(50), wire::NOT_HOLDER);
}

TEST_F(LocalInstanceTest, ADrainingBackendServerReleasesItsKeysAndGetsNothingMore)
{
    send(beat(1, 1));
    lease(0, 99, 7);
    auto it = beat(1, 2);
    it.holds = { { { 0, 99 }, 7 } };
    it.draining = true;
    EXPECT_FALSE(send(it)); // It is told that it may end only once the controllers have recorded that it leaves.
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
    record({ "i@1" });
    ASSERT_TRUE(m_answer && *m_answer);
    EXPECT_TRUE((*m_answer)->rows.empty());
    it.sequence = 3;
    ASSERT_TRUE(send(it));
    EXPECT_TRUE((*m_answer)->rows.empty());
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
}

TEST_F(LocalInstanceTest, ADeregisteredBackendServerGetsNothingMore)
{
    send(beat(1, 1));
    lease(0, 99, 7);
    deregister("i");
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
    send(beat(1, 2));
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
}

TEST_F(LocalInstanceTest, AnEvacuatedBackendServerGetsNothing)
{
    send(beat(1, 1));
    lease(0, 99, 7);
    InstancePolicy policy;
    policy.keyed = true;
    policy.evacuated = true;
    m_instance.setPolicy(policy);
    EXPECT_EQ(refusalOf(50), wire::EVACUATED);
}

TEST_F(LocalInstanceTest, CountsAsColdJustAfterTheEvacuationOfItsFailureDomain)
{
    send(beat(1, 1));
    InstancePolicy policy;
    policy.evacuated = true;
    m_instance.setPolicy(policy);
    m_clock.advance(seconds(5));
    policy.evacuated = false;
    m_instance.setPolicy(policy);
    EXPECT_TRUE(m_instance.isCold());
    m_clock.advance(seconds(2));
    EXPECT_FALSE(m_instance.isCold());
}

TEST_F(LocalInstanceTest, TreatsTwoRefusedConnectionsAsTerminationOfTheProcess)
{
    send(beat(1, 1));
    m_instance.onConnectionRefused();
    EXPECT_TRUE(m_instance.isPresent());
    m_clock.advance(milliseconds(100));
    m_instance.onConnectionRefused();
    EXPECT_FALSE(m_instance.isPresent());
    EXPECT_EQ(m_instance.report().ended(), "i@1");
    send(beat(1, 1)); // A delayed heartbeat of the terminated process.
    EXPECT_FALSE(m_instance.isPresent());
}

TEST_F(LocalInstanceTest, ABackendServerThatReturnsAfterRefusedConnectionsIsAnotherIncarnation)
{
    send(beat(1, 1));
    m_instance.onConnectionRefused();
    m_clock.advance(milliseconds(100));
    m_instance.onConnectionRefused();
    send(beat(1, 2));
    EXPECT_EQ(m_instance.report().incarnation(), "i@1#1");
}

TEST_F(LocalInstanceTest, ReportsReleasedKeysWithTheirFencingTokenUntilTheyAreRecorded)
{
    send(beat(1, 1));
    lease(0, 99, 7);
    auto held = beat(1, 2);
    held.holds = { { { 0, 99 }, 7 } };
    send(held);
    auto released = beat(1, 3);
    released.released = { { { 50, 99 }, "token" } };
    send(released);
    wire::Announce first;
    first.set_sequence(4);
    m_instance.addReleasedKeys(first);
    ASSERT_EQ(first.freed_size(), 1);
    EXPECT_EQ(first.freed(0).fence(), 7U);
    m_instance.onAnnouncementAcknowledged(3);
    wire::Announce second;
    second.set_sequence(5);
    m_instance.addReleasedKeys(second);
    EXPECT_EQ(second.freed_size(), 1);
    m_instance.onAnnouncementAcknowledged(4);
    wire::Announce third;
    m_instance.addReleasedKeys(third);
    EXPECT_EQ(third.freed_size(), 0);
}

// An answer sent after the next heartbeat was lost, so holds expired while the gateway relied on them (soak, seed 10).
TEST_F(LocalInstanceTest, AnswersAHeartbeatBeforeTheNextOneIsDue)
{
    LocalInstance instance(*m_loop, m_logger, m_grantPort, { "10.0.0.1:80", "svc" }, milliseconds(50));
    InstancePolicy policy;
    policy.hasManifest = true;
    policy.keyed = true;
    instance.setPolicy(policy);
    bool answered = false;
    instance.handleHeartbeat(beat(1, 1), [&answered](const auto &) { answered = true; });
    EXPECT_FALSE(answered); // It may carry a change of the keys.
    EXPECT_TRUE(m_loop->runUntil([&answered] { return answered; }, milliseconds(600)));
}

// A new leader that did not know of a release granted the row again. The backend server held the keys again before the leader received
// its release, upon which they were also granted to another one (hunt trouble-1, seed 971028062247, cluefire-live).
TEST_F(LocalInstanceTest, KeysThatWereReleasedAreNotHeldAgainUnderTheSameFencingToken)
{
    send(beat(1, 1));
    lease(0, 99, 5);
    auto holding = beat(1, 2);
    holding.holds = { { { 0, 99 }, 5 } };
    send(holding);
    lease(0, 49, 5); // The old leader takes the other keys out of the lease.
    auto released = beat(1, 3);
    released.holds = { { { 0, 49 }, 5 } };
    released.released = { { { 50, 99 }, "token" } };
    send(released);
    lease(0, 99, 5); // The new leader does not know of the release.
    const auto answer = send(beat(1, 4));
    ASSERT_TRUE(answer && *answer);
    ASSERT_EQ((*answer)->rows.size(), 1U);
    EXPECT_EQ((*answer)->rows[0].range, (KeyRange{ 0, 49 }));
    EXPECT_EQ(refusalOf(70), wire::NOT_HOLDER);
    lease(50, 99, 9); // A new grant, with a higher fencing token, is valid.
    EXPECT_EQ((*send(beat(1, 5)))->rows[0].range, (KeyRange{ 50, 99 }));
}

// The opposite order of the same race: the keys were granted again before the heartbeat that reports their release.
TEST_F(LocalInstanceTest, KeysThatWereGrantedAgainAreNotReportedAsReleased)
{
    send(beat(1, 1));
    lease(0, 99, 5);
    auto both = beat(1, 2);
    both.holds = { { { 0, 79 }, 5 } };
    both.released = { { { 50, 99 }, "token" } };
    send(both);
    wire::Announce announce;
    announce.set_sequence(1);
    m_instance.addReleasedKeys(announce);
    ASSERT_EQ(announce.freed_size(), 1);
    EXPECT_EQ(announce.freed(0).from(), 80U);
    EXPECT_EQ(announce.freed(0).to(), 99U);
}

TEST_F(LocalInstanceTest, GrantsKeysByCallsIfTheServiceAsksForThem)
{
    InstancePolicy policy;
    policy.hasManifest = true;
    policy.keyed = true;
    policy.grantWay = GrantWay::Call;
    m_instance.setPolicy(policy);
    const auto answer = send(beat(1, 1));
    ASSERT_TRUE(answer); // At once: it carries no keys.
    EXPECT_FALSE(*answer);
    EXPECT_EQ(m_grantPort.heartbeats, 1);
    lease(0, 99, 7);
    ASSERT_EQ(m_grantPort.grants.size(), 1U);
    EXPECT_EQ(refusalOf(50), wire::NOT_HOLDER);
    m_grantPort.takeGrant().done(GrantOutcome::Accepted);
    EXPECT_EQ(refusalOf(50), wire::NONE);
    auto draining = beat(1, 2);
    draining.draining = true;
    send(draining);
    ASSERT_EQ(m_grantPort.releases.size(), 1U); // A backend server that leaves hands its keys over.
    m_clock.advance(milliseconds(6000)); // Grants of an earlier process of the gateway have ended.
    m_grantPort.takeRelease().done(GrantOutcome::Accepted, "token");
    wire::Announce announce;
    announce.set_sequence(1);
    m_instance.addReleasedKeys(announce);
    ASSERT_EQ(announce.freed_size(), 1);
    EXPECT_EQ(announce.freed(0).handover(), "token");
}

// Its predecessor's keys are gone with it; a call that was meant for the predecessor must not grant them to it.
TEST_F(LocalInstanceTest, ANewProcessUnderTheSameIdHoldsNoKeysOfItsPredecessor)
{
    InstancePolicy policy;
    policy.hasManifest = true;
    policy.keyed = true;
    policy.grantWay = GrantWay::Call;
    m_instance.setPolicy(policy);
    send(beat(1, 1));
    lease(0, 99, 7);
    m_grantPort.takeGrant().done(GrantOutcome::Accepted);
    const auto ended = m_grantPort.endedProcesses;
    send(beat(2, 1));
    EXPECT_EQ(m_grantPort.endedProcesses, ended + 1);
    EXPECT_EQ(refusalOf(50), wire::NOT_HOLDER);
    EXPECT_TRUE(m_grantPort.grants.empty());
}

// A manifest changes how keys are granted while the backend server holds some.
TEST_F(LocalInstanceTest, KeysStayHeldWhileTheWayOfGrantingChanges)
{
    send(beat(1, 1));
    lease(0, 99, 7);
    EXPECT_EQ(refusalOf(50), wire::NONE);
    InstancePolicy policy;
    policy.hasManifest = true;
    policy.keyed = true;
    policy.grantWay = GrantWay::Call;
    m_instance.setPolicy(policy);
    EXPECT_EQ(refusalOf(50), wire::NONE);
    m_instance.updateCallGrants();
    lease(0, 49, 7);
    ASSERT_EQ(m_grantPort.releases.size(), 1U);
    EXPECT_EQ(m_grantPort.releases.front().call.range, (KeyRange{ 50, 99 }));
    policy.grantWay = GrantWay::HeartbeatAnswer;
    m_instance.setPolicy(policy);
    const auto answer = send(beat(1, 2));
    ASSERT_TRUE(answer && *answer);
    EXPECT_EQ((*answer)->rows[0].range, (KeyRange{ 0, 49 }));
}

// The keys were released and the release recorded; a lease from before brought them back (prove_grants, seed 544).
TEST_F(LocalInstanceTest, IgnoresALeaseThatIsOlderThanTheLatest)
{
    send(beat(1, 1));
    lease(0, 99, 7, seconds(5), 2);
    lease(0, 199, 7, seconds(5), 1);
    const auto answer = send(beat(1, 2));
    ASSERT_TRUE(answer && *answer);
    EXPECT_EQ((*answer)->rows[0].range, (KeyRange{ 0, 99 }));
    EXPECT_EQ(refusalOf(150), wire::NOT_HOLDER);
}

// After a restart of the gateway its keys stayed unserved until the second heartbeat (sgct-patrol, trouble-2).
TEST_F(LocalInstanceTest, AManifestThatComesAfterTheFirstHeartbeatStartsTheCallsAtOnce)
{
    m_instance.setPolicy({});
    send(beat(1, 1));
    EXPECT_EQ(m_grantPort.heartbeats, 0);
    InstancePolicy policy;
    policy.hasManifest = true;
    policy.keyed = true;
    policy.grantWay = GrantWay::Call;
    m_instance.setPolicy(policy);
    EXPECT_EQ(m_grantPort.heartbeats, 1);
    lease(0, 99, 7);
    EXPECT_EQ(m_grantPort.grants.size(), 1U);
}

// The backend server had deregistered. After a restart of the gateway, a late heartbeat from before made it ready again.
TEST_F(LocalInstanceTest, ABackendServerThatLeavesIsNotUsedAgainAfterARestartOfTheGateway)
{
    send(beat(1, 1));
    EXPECT_EQ(m_instance.report().state(), wire::READY);
    auto record = m_instance.report();
    record.set_state(wire::DRAINING); // Known from the earlier process of the gateway.
    m_instance.applyRecord(record);
    EXPECT_EQ(m_instance.report().state(), wire::DRAINING);
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
    send(beat(1, 2));
    EXPECT_EQ(m_instance.report().state(), wire::DRAINING);
    send(beat(2, 1)); // Another process.
    EXPECT_EQ(m_instance.report().state(), wire::READY);
}

// The record of a restarted gateway names no backend server yet, and the late heartbeat comes after it (review/5, DRAIN).
TEST_F(LocalInstanceTest, ALateHeartbeatOfABackendServerThatLeftDoesNotPutItBackIntoUse)
{
    wire::InstanceReport record;
    record.set_state(wire::ABSENT);
    record.set_leaving("i@1");
    m_instance.applyRecord(record);
    send(beat(1, 1));
    EXPECT_EQ(m_instance.report().state(), wire::DRAINING);
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
    send(beat(2, 1)); // Another process.
    EXPECT_EQ(m_instance.report().state(), wire::READY);
    EXPECT_EQ(m_instance.report().leaving(), "i@1");
}

// The same without a restart: refused connections made the gateway forget that the process had deregistered.
TEST_F(LocalInstanceTest, ABackendServerThatLeavesIsNotUsedAgainAfterItWasPresumedTerminated)
{
    send(beat(1, 1));
    deregister("i");
    m_instance.onConnectionRefused();
    m_clock.advance(milliseconds(100));
    m_instance.onConnectionRefused();
    ASSERT_EQ(m_instance.report().state(), wire::ABSENT);
    EXPECT_EQ(m_instance.report().leaving(), "i@1");
    send(beat(1, 2));
    EXPECT_EQ(m_instance.report().state(), wire::DRAINING);
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
}

// A record from before must not displace what the backend server itself reported since.
TEST_F(LocalInstanceTest, AnOldRecordDoesNotDisplaceThatALaterProcessLeaves)
{
    send(beat(2, 1));
    deregister("i");
    wire::InstanceReport record;
    record.set_leaving("i@1");
    m_instance.applyRecord(record);
    EXPECT_EQ(m_instance.report().leaving(), "i@2");
}

// After a loss of power, other gateways sent calls to gateways that had no manifest yet. Their cold backend servers got any number of
// requests in a second (FAILBACK on cluefire-live-large, trouble-2).
TEST_F(LocalInstanceTest, AColdBackendServerGetsNothingBeforeTheManifestIsKnown)
{
    m_instance.setPolicy({});
    auto cold = beat(1, 1);
    cold.coldRemaining = seconds(3);
    send(cold);
    EXPECT_EQ(refusalOf(50), wire::COLD);
    InstancePolicy policy;
    policy.hasManifest = true;
    policy.coldRequestsPerSecond = 7;
    m_instance.setPolicy(policy);
    EXPECT_EQ(refusalOf(50), wire::NONE);
    m_instance.setPolicy({});
    m_clock.advance(seconds(4)); // It is warm.
    EXPECT_EQ(refusalOf(50), wire::NONE);
}

namespace
{

/// A gateway that was restarted: it knows no process of the backend server yet.
class DepartureTest : public LocalInstanceTest
{
protected:
    std::int64_t unixMs() const
    {
        return std::chrono::duration_cast<milliseconds>(m_clock.wallNow().time_since_epoch()).count();
    }

    Heartbeat beatOf(const std::string &instance, std::int64_t born, std::uint64_t sequence = 1) const
    {
        auto it = beat(born, sequence);
        it.instance = instance;
        return it;
    }

    wire::InstanceState stateAfter(const Heartbeat &it)
    {
        send(it);
        return m_instance.report().state();
    }

    /// What the gateway would tell the controllers about all departures.
    std::vector<std::string> announced() const
    {
        const auto report = m_instance.report();
        return { report.leaving_processes().begin(), report.leaving_processes().end() };
    }

    /// Replaces the gateway by a later process, which the controllers tell what they have recorded.
    std::unique_ptr<LocalInstance> restarted()
    {
        auto next
            = std::make_unique<LocalInstance>(*m_loop, m_logger, m_grantPort, BackendIdentity{ "10.0.0.1:80", "svc" }, milliseconds(870));
        wire::RecordedDepartures departures;
        for (const auto &it : announced()) {
            departures.add_incarnations(it);
        }
        next->applyDepartures(departures);
        return next;
    }
};

} // namespace

// Failure: the first call that a restarted gateway got was the notice of a process that it did not know yet. It confirmed and forgot it,
// and the next heartbeat put the process back into use (review/9, DRAIN).
TEST_F(DepartureTest, ANoticeBeforeTheFirstHeartbeatHolds)
{
    const auto born = unixMs() - 60'000;
    deregister("i");
    EXPECT_EQ(stateAfter(beatOf("i", born, 15)), wire::DRAINING);
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
    EXPECT_EQ(stateAfter(beatOf("i", born, 14)), wire::DRAINING);
}

TEST_F(DepartureTest, ANoticeHoldsAfterAnotherRestart)
{
    const auto born = unixMs() - 60'000;
    deregister("i");
    const auto second = restarted();
    second->handleHeartbeat(beatOf("i", born, 3), [](const auto &) {});
    EXPECT_EQ(second->report().state(), wire::DRAINING);
}

TEST_F(DepartureTest, ASuccessorAtTheAddressIsUsed)
{
    const auto born = unixMs() - 60'000;
    deregister("i");
    send(beatOf("i", born, 15));
    m_clock.advance(milliseconds(500));
    EXPECT_EQ(stateAfter(beatOf("i", unixMs())), wire::READY);
    EXPECT_EQ(stateAfter(beatOf("i", born, 16)), wire::READY); // Late, of the process that left.
    const auto second = restarted();
    second->handleHeartbeat(beatOf("i", unixMs()), [](const auto &) {});
    EXPECT_EQ(second->report().state(), wire::READY);
    const auto third = restarted();
    third->handleHeartbeat(beatOf("other", born), [](const auto &) {});
    EXPECT_EQ(third->report().state(), wire::READY);
}

// A late notice of a predecessor must not end the use of the process at its address, nor displace that this one leaves later.
TEST_F(DepartureTest, ALateNoticeOfAnotherProcessChangesNothingForTheCurrentOne)
{
    const auto born = unixMs() - 1000;
    send(beatOf("new", born));
    deregister("old");
    EXPECT_EQ(m_instance.report().state(), wire::READY);
    deregister("new", born - 5000); // An earlier process with its id.
    EXPECT_EQ(m_instance.report().state(), wire::READY);
    deregister("new");
    EXPECT_EQ(m_instance.report().state(), wire::DRAINING);
    const auto second = restarted();
    second->handleHeartbeat(beatOf("new", born, 2), [](const auto &) {});
    EXPECT_EQ(second->report().state(), wire::DRAINING);
    const auto third = restarted();
    third->handleHeartbeat(beatOf("old", born - 9000, 7), [](const auto &) {});
    EXPECT_EQ(third->report().state(), wire::DRAINING);
}

// Failure: a departure was confirmed while only the memory of the gateway had it, and a restart lost it.
TEST_F(DepartureTest, ANoticeIsConfirmedOnceItIsRecorded)
{
    send(beat(1, 1));
    deregister("i");
    EXPECT_EQ(refusalOf(50), wire::INSTANCE_DRAINING);
    EXPECT_FALSE(m_confirmation);
    record({});
    EXPECT_FALSE(m_confirmation);
    record({ "i@1" });
    EXPECT_EQ(m_confirmation, true);
    deregister("i");
    EXPECT_EQ(m_confirmation, true); // Repeated.
}

TEST_F(DepartureTest, ANoticeThatIsNotRecordedInTimeIsNotConfirmed)
{
    deregister("i");
    EXPECT_EQ(m_instance.departures().pendingCount(), 1U);
    m_clock.advance(Departures::kTimeout);
    EXPECT_TRUE(m_loop->runUntil([this] { return m_confirmation.has_value(); }, seconds(5)));
    EXPECT_EQ(m_confirmation, false);
    EXPECT_EQ(m_instance.departures().pendingCount(), 0U);
    deregister("i");
    record(announced());
    EXPECT_EQ(m_confirmation, true);
}

// A heartbeat that says "draining" and is repeated with its number, or comes late, is no confirmation either.
TEST_F(DepartureTest, AnIgnoredHeartbeatOfADrainingProcessWaitsForTheRecord)
{
    m_instance.setPolicy({}); // Without keys, no answer is delayed for another reason.
    send(beat(1, 2));
    auto draining = beat(1, 2);
    draining.draining = true;
    EXPECT_FALSE(send(draining));
    EXPECT_EQ(m_instance.report().state(), wire::DRAINING);
    bool unconfirmed = false;
    m_instance.handleHeartbeat(
        draining, [](const auto &) {}, [&] { unconfirmed = true; });
    m_clock.advance(Departures::kTimeout);
    EXPECT_TRUE(m_loop->runUntil([&] { return unconfirmed; }, seconds(5)));
    record({ "i@1" });
    EXPECT_TRUE(send(draining));
}

TEST_F(DepartureTest, AHeartbeatOfAnotherWriterEndsNoUse)
{
    const std::map<std::string, ServiceSpec> services{ { "svc", {} } };
    setServices(services);
    send(beat(1, 2));
    auto other = beat(1, 3);
    other.draining = true;
    other.service = "unknown";
    EXPECT_TRUE(send(other));
    EXPECT_EQ(m_instance.report().state(), wire::READY);
    other.service = "svc";
    other.address = "10.0.0.2:80";
    EXPECT_TRUE(send(other));
    EXPECT_EQ(m_instance.report().state(), wire::READY);
}

TEST_F(DepartureTest, AControllerThatReportsNoDeparturesIsTakenAtItsAcknowledgement)
{
    deregister("i");
    m_instance.assumeDeparturesRecorded();
    EXPECT_EQ(m_confirmation, true);
}
