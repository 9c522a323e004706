#pragma once

#include "ownership/lease.h"
#include "ownership/router_agent.h"
#include "state/cluster_state.h"

#include "common/key_hash.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck
{

/// Session of another router, which moved partitions go to.
constexpr std::uint64_t kOtherSession = 77;

/// An agent of one router beside a real replicated state; its messages to the controllers and its calls to the listener are recorded.
class RouterAgentTest : public testing::Test, protected ControllerLink, protected AgentListener
{
protected:
    RouterAgentTest()
    {
        wire::RouterSession other = description();
        other.set_session(kOtherSession);
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
        EXPECT_EQ(receiver.value, kOtherSession);
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

} // namespace Toucandeck
