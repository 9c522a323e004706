#pragma once

#include "ownership/bounded_load.h"
#include "ownership/coordinator.h"
#include "ownership/lease.h"
#include "state/cluster_state.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck
{

/// A coordinator whose proposals are applied at the next commit(), and whose messages are recorded.
class CoordinatorTest : public testing::Test, protected Proposer, protected RouterLink, protected LeadershipCheck
{
protected:
    CoordinatorTest()
    {
        state.setListener([this](const AppliedCommand &applied) { coordinator.onCommandApplied(applied.index, applied.delta); });
        wire::Command command;
        command.mutable_edit_table()->set_request_id("first edit");
        auto &row = *command.mutable_edit_table()->add_edits()->mutable_row();
        row.set_service("clue");
        row.set_key("segment:1");
        row.set_partitions(8);
        row.set_fenced(true);
        apply(command);
    }

    void propose(const wire::Command &command, Done done) override
    {
        proposals.emplace_back(command, std::move(done));
    }

    void sendToSession(SessionId session, const wire::Envelope &envelope) override
    {
        sentMessages.emplace_back(state.view().session(session)->message_address(), envelope);
    }

    void sendToAddress(const std::string &address, const wire::Envelope &envelope) override
    {
        sentMessages.emplace_back(address, envelope);
    }

    bool isConfirmedLeader() const override
    {
        return confirmedLeader;
    }

    std::string leaderAddress() const override
    {
        return "controller-2";
    }

    void apply(const wire::Command &command)
    {
        state.apply(LogIndex{ state.view().version().value + 1 }, command.SerializeAsString());
    }

    void commit()
    {
        const auto all = std::move(proposals);
        proposals.clear();
        for (const auto &[command, done] : all) {
            apply(command);
            done(&state.lastAnswer());
        }
    }

    /// Ticks and commits often enough that no proposal remains.
    void tickAndCommit()
    {
        for (int i = 0; i < 20; ++i) {
            coordinator.tick();
            commit();
        }
    }

    /// Advances the clock in ticks; the routers in @p renewing renew their leases at each.
    void runFor(Duration length, std::initializer_list<std::uint64_t> renewing)
    {
        for (auto left = length; left > Duration::zero();) {
            const auto step = std::min<Duration>(left, kOwnershipTick);
            clock.advance(step);
            left -= step;
            for (const auto it : renewing) {
                renew(it);
            }
            coordinator.tick();
            commit();
        }
    }

    static wire::RouterSession description(std::uint64_t session, bool fenced = true)
    {
        wire::RouterSession it;
        it.set_session(session);
        it.set_service("clue");
        it.set_failure_domain("a");
        it.set_instance("clue-" + std::to_string(session));
        it.set_message_address(it.instance());
        it.set_fenced(fenced);
        it.set_backend_ready(true);
        return it;
    }

    void registerRouter(const wire::RouterSession &session)
    {
        wire::Envelope envelope;
        *envelope.mutable_register_session()->mutable_session() = session;
        coordinator.receive(session.message_address(), envelope);
        commit();
    }

    wire::Renew renewal(std::uint64_t session)
    {
        wire::Renew renew;
        renew.set_session(session);
        renew.set_sequence(++sequence);
        renew.set_version(state.view().version().value);
        renew.set_digest(state.view().digest());
        renew.set_backend_ready(true);
        return renew;
    }

    /// Returns whether the lease was extended.
    bool renew(const wire::Renew &body)
    {
        sentMessages.clear();
        wire::Envelope envelope;
        *envelope.mutable_renew() = body;
        coordinator.receive("clue-" + std::to_string(body.session()), envelope);
        return std::any_of(sentMessages.begin(), sentMessages.end(), [](const auto &it) { return it.second.renewed().extended(); });
    }

    bool renew(std::uint64_t session)
    {
        return renew(renewal(session));
    }

    /// Gains leadership, registers and renews these routers, and grants them all partitions.
    void start(std::initializer_list<std::uint64_t> sessions)
    {
        coordinator.onLeadershipGained();
        for (const auto it : sessions) {
            registerRouter(description(it));
        }
        for (const auto it : sessions) {
            renew(it);
        }
        tickAndCommit();
    }

    std::size_t ownedPartitions(std::uint64_t session) const
    {
        return state.view().partitionsOf(SessionId{ session }).size();
    }

    std::size_t countSent(wire::Envelope::BodyCase body) const
    {
        return static_cast<std::size_t>(
            std::count_if(sentMessages.begin(), sentMessages.end(), [body](const auto &it) { return it.second.body_case() == body; }));
    }

    /// Sends a Release of all partitions that move from one session to the other.
    void release(std::uint64_t from, std::uint64_t to, LogIndex version)
    {
        wire::Envelope envelope;
        auto &body = *envelope.mutable_release();
        body.set_session(from);
        body.set_service("clue");
        body.set_receiver(to);
        body.set_version(version.value);
        for (const auto &it : state.view().assignments("clue")) {
            if (it.owner() == from && it.moving_to() == to) {
                body.add_partitions(it.partition());
            }
        }
        coordinator.receive("clue-" + std::to_string(from), envelope);
        commit();
    }

    ManualClock clock;
    NullLogger logger;
    BoundedLoadPlacement placement;
    ClusterState state;
    bool confirmedLeader = true;
    std::uint64_t sequence = 0;
    std::vector<std::pair<wire::Command, Done>> proposals;
    std::vector<std::pair<std::string, wire::Envelope>> sentMessages;
    Coordinator coordinator{ CoordinatorParts{ state, clock, *this, *this, *this, placement, logger } };
};

} // namespace Toucandeck
