#pragma once

#include "consensus/memory_log_store.h"
#include "consensus/replica.h"
#include "history_checker.h"

#include <gtest/gtest.h>

namespace Toucandeck
{

/// Result as an optional; the error is dropped.
template<class T>
std::optional<T> valueOf(const std::function<Result<T>()> &block)
{
    return handleError(
        [&]() -> Result<std::optional<T>> {
            BOOST_LEAF_AUTO(value, block());
            return std::optional<T>(std::move(value));
        },
        [](const Error &) { return std::optional<T>(); });
}

/// Code of the error that @p block fails with; nothing if it succeeds.
template<class Block>
std::optional<ErrorCode> errorOf(Block &&block)
{
    return handleError(
        [&]() -> Result<std::optional<ErrorCode>> {
            BOOST_LEAF_CHECK(block());
            return std::optional<ErrorCode>();
        },
        [](const Error &error) { return std::optional(error.code); });
}

/// Replica 1 of the voters 1, 2 and 3; the test plays the other two.
class LoneReplica : public ReplicaTransport
{
public:
    explicit LoneReplica(bool named = true)
        : store(ReplicaId{ 1 })
        , machine(checker)
    {
        for (const auto n : { 1, 2, 3 }) {
            const auto id = named || n != 1 ? static_cast<std::uint64_t>(n) : 9;
            options.initialMembership.members.push_back({ ReplicaId{ id }, ReplicaRole::Voter, "a", {}, {} });
        }
        start();
    }

    void start()
    {
        store.loseUnsynced();
        machine.reset();
        sent.clear();
        replica = handleError([&] { return Replica::create(options, store, machine, *this, clock, random); },
                              [](const Error &) { return std::unique_ptr<Replica>(); });
        ASSERT_TRUE(replica);
    }

    void send(ReplicaId /*to*/, const wire::ReplicaMessage &message) override
    {
        sent.push_back(message);
        syncsAtSend.push_back(store.syncCount());
    }

    static wire::ReplicaMessage from(std::uint64_t sender, std::uint64_t term)
    {
        wire::ReplicaMessage message;
        message.set_from(sender);
        message.set_to(1);
        message.set_term(term);
        return message;
    }

    void receive(const wire::ReplicaMessage &message)
    {
        replica->receive(message);
        replica->flush();
    }

    void vote(std::uint64_t sender, std::uint64_t term, bool preVote)
    {
        auto message = from(sender, term);
        message.mutable_vote_reply()->set_granted(true);
        message.mutable_vote_reply()->set_pre_vote(preVote);
        receive(message);
    }

    void acknowledge(std::uint64_t sender, std::uint64_t index, std::uint64_t round = 0)
    {
        auto message = from(sender, replica->term().value);
        message.mutable_append_reply()->set_accepted(true);
        message.mutable_append_reply()->set_index(index);
        message.mutable_append_reply()->set_read_round(round);
        receive(message);
    }

    /// Lets the election timeout pass and wins the election with the votes of replicas 2 and 3.
    void lead()
    {
        clock.advance(options.electionTimeoutMax);
        replica->tick();
        replica->flush();
        const auto next = replica->term().value + 1;
        for (const bool preVote : { true, false }) {
            vote(2, next, preVote);
            vote(3, next, preVote);
        }
        ASSERT_TRUE(replica->isLeader());
    }

    static wire::ReplicaMessage append(std::uint64_t sender, std::uint64_t term, std::uint64_t index, std::uint64_t previousTerm)
    {
        auto message = from(sender, term);
        auto *request = message.mutable_append_request();
        request->set_previous_index(index - 1);
        request->set_previous_term(previousTerm);
        auto *entry = request->add_entries();
        entry->set_index(index);
        entry->set_term(term);
        entry->set_data("k=" + std::to_string(term));
        return message;
    }

    /// Last message sent that satisfies the predicate.
    const wire::ReplicaMessage *last(const std::function<bool(const wire::ReplicaMessage &)> &matches) const
    {
        const auto it = std::find_if(sent.rbegin(), sent.rend(), matches);
        return it == sent.rend() ? nullptr : &*it;
    }

    ReplicaOptions options;
    ManualClock clock;
    SeededRandom random{ 7 };
    HistoryChecker checker;
    MemoryLogStore store;
    RecordingMachine machine;
    std::unique_ptr<Replica> replica;
    std::vector<wire::ReplicaMessage> sent;
    std::vector<std::uint64_t> syncsAtSend; ///< Syncs of the store when each message was sent.
};

} // namespace Toucandeck
