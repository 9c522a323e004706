// Guards against admissions without a valid lease or ownership, and against messages to controllers that are not retried.
#include "ownership/router_agent.h"

#include "common/key_hash.h"
#include "ownership/lease.h"
#include "state/cluster_state.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

constexpr std::uint64_t kOther = 77;

class RouterAgentTest : public testing::Test, protected ControllerLink, protected AgentListener
{
protected:
    RouterAgentTest()
    {
        wire::RouterSession other = description();
        other.set_session(kOther);
        other.set_instance("clue-2");
        addSession(other);
        wire::Command command;
        command.mutable_edit_table()->set_request_id("create");
        auto &row = *command.mutable_edit_table()->add_edits()->mutable_row();
        row.set_service("clue");
        row.set_key("segment:1");
        row.set_partitions(4);
        apply(command);
    }

    static wire::RouterSession description()
    {
        wire::RouterSession it;
        it.set_service("clue");
        it.set_failure_domain("a");
        it.set_instance("clue-1");
        it.set_message_address("router");
        it.set_backend_ready(true);
        return it;
    }

    void sendTo(std::size_t controller, const wire::Envelope &envelope) override
    {
        sentMessages.emplace_back(static_cast<int>(controller), envelope);
    }

    void sendToAll(const wire::Envelope &envelope) override
    {
        sentMessages.emplace_back(-1, envelope);
    }

    std::optional<std::size_t> indexOf(const std::string &address) const override
    {
        return address.size() == 1 ? std::optional<std::size_t>(address[0] - '0') : std::nullopt;
    }

    void onLeaseLost() override
    {
        ++leasesLost;
    }

    void beginRelease(const OwnedItems &items, SessionId receiver) override
    {
        releasingItems = items;
        EXPECT_EQ(receiver.value, kOther);
    }

    void cancelRelease(const OwnedItems &items) override
    {
        cancelledItems = items;
    }

    void apply(const wire::Command &command)
    {
        state.apply(LogIndex{ state.view().version().value + 1 }, command.SerializeAsString());
    }

    void addSession(const wire::RouterSession &session)
    {
        wire::Command command;
        *command.mutable_register_session()->mutable_session() = session;
        apply(command);
    }

    void grantAll(SessionId session)
    {
        wire::Command command;
        for (const auto &it : state.view().assignments("clue")) {
            auto &grant = *command.mutable_grant_partitions()->add_grants();
            grant.set_service("clue");
            grant.set_partition(it.partition());
            grant.set_session(session.value);
            grant.set_previous_epoch(it.epoch());
        }
        apply(command);
    }

    /// Begins a move of the partition or, with session 0, cancels it.
    void move(PartitionId partition, std::uint64_t to)
    {
        wire::Command command;
        auto &body = *command.mutable_begin_moves()->add_moves();
        body.set_service("clue");
        body.set_partition(partition.value);
        body.set_session(to);
        body.set_previous_epoch(state.view().assignments("clue")[partition.value].epoch());
        apply(command);
        sendDeltas();
    }

    void setState(wire::RowState rowState)
    {
        wire::Command command;
        command.mutable_edit_table()->set_request_id("state-" + std::to_string(state.view().version().value));
        auto &edit = *command.mutable_edit_table()->add_edits();
        edit.mutable_row()->set_failure_domain("a");
        edit.mutable_row()->set_state(rowState);
        const auto *row = state.view().row({ "", "a", "" });
        edit.set_seen_revision(row == nullptr ? 0 : row->revision());
        apply(command);
        sendDeltas();
    }

    void receive(wire::Envelope envelope, const std::string &sender = "1")
    {
        envelope.set_sender(sender);
        agent.receive(envelope);
    }

    void sendDeltas()
    {
        wire::Envelope envelope;
        *envelope.mutable_deltas() = *state.deltasSince(agent.view().version());
        receive(envelope);
    }

    const wire::Envelope *lastSent(wire::Envelope::BodyCase body) const
    {
        const auto it
            = std::find_if(sentMessages.rbegin(), sentMessages.rend(), [body](const auto &it) { return it.second.body_case() == body; });
        return it == sentMessages.rend() ? nullptr : &it->second;
    }

    int countSent(wire::Envelope::BodyCase body) const
    {
        return static_cast<int>(
            std::count_if(sentMessages.begin(), sentMessages.end(), [body](const auto &it) { return it.second.body_case() == body; }));
    }

    /// Registers the agent and grants it all partitions; it has no lease yet.
    void registerAgent()
    {
        agent.tick();
        auto session = lastSent(wire::Envelope::kRegisterSession)->register_session().session();
        addSession(session);
        grantAll(SessionId{ session.session() });
        wire::Envelope envelope;
        envelope.mutable_registered()->set_session(session.session());
        receive(envelope);
        wire::Envelope view;
        *view.mutable_full_view()->mutable_view() = state.view().toWire();
        receive(view);
    }

    void answerRenewal(bool extended = true)
    {
        wire::Envelope envelope;
        auto &renewed = *envelope.mutable_renewed();
        renewed.set_session(agent.session().value);
        renewed.set_sequence(lastSent(wire::Envelope::kRenew)->renew().sequence());
        renewed.set_extended(extended);
        renewed.set_lease_ms(600);
        renewed.set_version(state.view().version().value);
        receive(envelope);
    }

    void start()
    {
        registerAgent();
        answerRenewal();
        sentMessages.clear();
    }

    void runFor(Duration length)
    {
        for (auto left = length; left > Duration::zero(); left -= kOwnershipTick) {
            clock.advance(kOwnershipTick);
            agent.tick();
        }
    }

    bool admits(std::uint32_t partition)
    {
        return agent.admit("clue", KeyHash{ partition }).has_value();
    }

    ManualClock clock;
    SeededRandom random{ 1 };
    NullLogger logger;
    ClusterState state;
    std::vector<std::pair<int, wire::Envelope>> sentMessages;
    OwnedItems releasingItems;
    OwnedItems cancelledItems;
    int leasesLost = 0;
    RouterAgent agent{ AgentParts{ clock, random, *this, *this, logger }, description() };
};

} // namespace

TEST_F(RouterAgentTest, AdmitsOnlyOnceTheLeaseIsGranted)
{
    EXPECT_FALSE(admits(1));
    registerAgent();
    EXPECT_FALSE(admits(1));
    answerRenewal();
    const auto admission = agent.admit("clue", KeyHash{ 5 });
    ASSERT_TRUE(admission);
    EXPECT_EQ(admission->partition, PartitionId{ 1 });
    EXPECT_EQ(admission->epoch.value, state.view().assignments("clue")[1].epoch());
    EXPECT_LT(admission->leaseEnd, clock.now() + kLeaseTtl);
    EXPECT_FALSE(admission->crashGrantTime);
    EXPECT_FALSE(agent.admit("judge", KeyHash{ 5 }));
}

TEST_F(RouterAgentTest, PauseEndsTheLeaseBeforeAnythingIsAdmitted)
{
    start();
    clock.advance(kLeaseTtl);
    EXPECT_FALSE(admits(1));
    EXPECT_EQ(leasesLost, 1);
    EXPECT_FALSE(agent.mayServeUnkeyed());
    EXPECT_FALSE(agent.leaseEnd());
    EXPECT_EQ(leasesLost, 1);
}

TEST_F(RouterAgentTest, AnswerThatWaitedThroughAPauseGivesNoLease)
{
    registerAgent();
    clock.advance(700ms);
    answerRenewal();
    EXPECT_FALSE(admits(1));
}

TEST_F(RouterAgentTest, RenewsEvery200MsAndAsksAllAfter60Ms)
{
    start();
    runFor(200ms);
    ASSERT_EQ(countSent(wire::Envelope::kRenew), 1);
    EXPECT_EQ(sentMessages.back().first, 1) << "the controller that answered last";
    runFor(50ms);
    EXPECT_EQ(countSent(wire::Envelope::kRenew), 1);
    runFor(10ms);
    ASSERT_EQ(countSent(wire::Envelope::kRenew), 2);
    EXPECT_EQ(sentMessages.back().first, -1);
    answerRenewal();
    runFor(130ms);
    EXPECT_EQ(countSent(wire::Envelope::kRenew), 2) << "the next round begins 200 ms after the last one";
    runFor(10ms);
    EXPECT_EQ(countSent(wire::Envelope::kRenew), 3);
}

TEST_F(RouterAgentTest, FollowsTheHintOfAFollower)
{
    start();
    runFor(220ms);
    wire::Envelope envelope;
    envelope.mutable_not_leader()->set_leader_address("2");
    receive(envelope);
    EXPECT_EQ(sentMessages.back().first, 2);
    EXPECT_TRUE(sentMessages.back().second.has_renew());
}

TEST_F(RouterAgentTest, RefusedRenewalFetchesTheViewAndTriesAgain)
{
    registerAgent();
    answerRenewal(false);
    EXPECT_FALSE(admits(1));
    ASSERT_TRUE(sentMessages.back().second.has_fetch_view());
    sentMessages.clear();
    wire::RouterSession another = description();
    another.set_session(5);
    another.set_instance("clue-3");
    addSession(another);
    sendDeltas();
    EXPECT_EQ(countSent(wire::Envelope::kRenew), 1);
}

TEST_F(RouterAgentTest, GapInTheDeltasIsFetchedUntilItIsFilled)
{
    start();
    grantAll(SessionId{ kOther }); // Without effect, but creates a version.
    const auto gap = state.view().version();
    grantAll(SessionId{ kOther });
    wire::Envelope envelope;
    *envelope.mutable_deltas() = *state.deltasSince(gap);
    receive(envelope);
    EXPECT_EQ(countSent(wire::Envelope::kFetchView), 1);
    runFor(60ms);
    EXPECT_EQ(countSent(wire::Envelope::kFetchView), 2);
    sendDeltas();
    runFor(120ms);
    EXPECT_EQ(countSent(wire::Envelope::kFetchView), 2);
    EXPECT_EQ(agent.view().version(), state.view().version());
}

TEST_F(RouterAgentTest, PartitionThatMovesAwayIsReleasedWithTheVersionOfTheView)
{
    start();
    move(PartitionId{ 2 }, kOther);
    EXPECT_EQ(releasingItems.partitions, std::vector{ PartitionId{ 2 } });
    EXPECT_FALSE(admits(2));
    EXPECT_TRUE(admits(1));
    agent.completeRelease(releasingItems);
    ASSERT_NE(lastSent(wire::Envelope::kRelease), nullptr);
    EXPECT_EQ(lastSent(wire::Envelope::kRelease)->release().version(), state.view().version().value);
    EXPECT_EQ(lastSent(wire::Envelope::kRelease)->release().receiver(), kOther);
    runFor(60ms);
    EXPECT_EQ(countSent(wire::Envelope::kRelease), 2) << "repeated until the view shows the new owner";
}

TEST_F(RouterAgentTest, CancelledMoveIsAdmittedAgain)
{
    start();
    move(PartitionId{ 2 }, kOther);
    agent.completeRelease(releasingItems);
    sentMessages.clear();
    move(PartitionId{ 2 }, 0);
    EXPECT_EQ(cancelledItems.partitions, std::vector{ PartitionId{ 2 } });
    EXPECT_TRUE(admits(2));
    runFor(100ms);
    EXPECT_EQ(countSent(wire::Envelope::kRelease), 0);
}

TEST_F(RouterAgentTest, UnknownItemsAreNotReleased)
{
    start();
    agent.completeRelease({ "clue", { PartitionId{ 1 } }, {} });
    EXPECT_EQ(countSent(wire::Envelope::kRelease), 0);
}

TEST_F(RouterAgentTest, LeavingInstanceStopsBeforeThreeSecondsHaveGone)
{
    start();
    setState(wire::OUT);
    EXPECT_FALSE(agent.mayServeUnkeyed());
    for (int i = 0; i < 13; ++i) {
        runFor(210ms);
        answerRenewal();
        EXPECT_TRUE(admits(1)) << "partitions that no other router has taken over are still served";
    }
    runFor(210ms);
    answerRenewal();
    EXPECT_FALSE(admits(1));
    setState(wire::SERVING);
    EXPECT_TRUE(admits(1));
    EXPECT_TRUE(agent.mayServeUnkeyed());
}

TEST_F(RouterAgentTest, EndOfTheSessionCancelsAndRegistersAnew)
{
    start();
    const auto old = agent.session();
    wire::Envelope envelope;
    envelope.mutable_session_ended()->set_session(old.value);
    receive(envelope);
    EXPECT_EQ(leasesLost, 1);
    EXPECT_FALSE(admits(1));
    runFor(200ms);
    ASSERT_NE(lastSent(wire::Envelope::kRegisterSession), nullptr);
    EXPECT_NE(lastSent(wire::Envelope::kRegisterSession)->register_session().session().session(), old.value);
    // A delayed extension of the old session's lease must not count for the new session.
    wire::Envelope renewed;
    renewed.mutable_renewed()->set_session(old.value);
    renewed.mutable_renewed()->set_extended(true);
    renewed.mutable_renewed()->set_lease_ms(600);
    renewed.mutable_renewed()->set_sequence(1);
    receive(renewed);
    EXPECT_FALSE(agent.leaseEnd());
}

TEST_F(RouterAgentTest, CloseWaitsForMovesAndForRequestsInFlight)
{
    start();
    agent.setLoad({ 1, 0, {} });
    agent.close();
    EXPECT_FALSE(lastSent(wire::Envelope::kRenew)->renew().backend_ready());
    auto session = *state.view().session(agent.session());
    session.set_backend_ready(false);
    addSession(session);
    for (std::uint32_t i = 0; i < 4; ++i) {
        move(PartitionId{ i }, kOther);
    }
    wire::Command command;
    command.mutable_release_partitions()->set_service("clue");
    command.mutable_release_partitions()->set_session(agent.session().value);
    for (std::uint32_t i = 0; i < 4; ++i) {
        command.mutable_release_partitions()->add_partitions(i);
    }
    apply(command);
    sendDeltas();
    runFor(10ms);
    EXPECT_EQ(countSent(wire::Envelope::kClose), 0) << "a request is in flight";
    agent.setLoad({});
    runFor(10ms);
    EXPECT_EQ(countSent(wire::Envelope::kClose), 1);
    EXPECT_FALSE(agent.isClosed());
    runFor(60ms);
    EXPECT_EQ(countSent(wire::Envelope::kClose), 2);
    wire::Envelope ended;
    ended.mutable_session_ended()->set_session(agent.session().value);
    receive(ended);
    EXPECT_TRUE(agent.isClosed());
}

TEST_F(RouterAgentTest, OtherInstanceGetsAnotherSession)
{
    start();
    const auto old = agent.session();
    auto changed = description();
    changed.set_instance("clue-9");
    agent.setDescription(changed);
    EXPECT_EQ(leasesLost, 1);
    EXPECT_EQ(lastSent(wire::Envelope::kClose)->close().session(), old.value);
    EXPECT_FALSE(admits(1));
}
