#pragma once

#include "consensus/memory_log_store.h"
#include "consensus/replica.h"
#include "history_checker.h"

#include <gtest/gtest.h>

namespace Toucandeck
{

/// Value returned by @p block; nothing if it fails.
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

/// Replica 1 of the voters 1, 2 and 3. The test sends the messages of replicas 2 and 3 and records those of replica 1.
/// With @c isInitialMember false the initial membership lists replica 9 instead of replica 1.
class ReplicaFixture : public ReplicaTransport
{
public:
    explicit ReplicaFixture(bool isInitialMember = true)
        : store(ReplicaId{ 1 })
        , machine(checker)
    {
        for (const auto n : { 1, 2, 3 }) {
            const auto id = isInitialMember || n != 1 ? static_cast<std::uint64_t>(n) : 9;
            options.initialMembership.members.push_back({ ReplicaId{ id }, ReplicaRole::Voter, "a", {}, {} });
        }
        restart();
    }

    /// Creates the replica on the synced state of the store, as after a crash.
    void restart()
    {
        store.discardUnsyncedChanges();
        machine.reset();
        sentMessages.clear();
        replica = handleError([&] { return Replica::create(options, store, machine, *this, clock, random); },
                              [](const Error &) { return std::unique_ptr<Replica>(); });
        ASSERT_TRUE(replica);
    }

    void send(ReplicaId /*to*/, const wire::ReplicaMessage &message) override
    {
        sentMessages.push_back(message);
        syncCountsAtSend.push_back(store.syncCount());
    }

    static wire::ReplicaMessage messageFrom(std::uint64_t sender, std::uint64_t term)
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

    void receiveVote(std::uint64_t sender, std::uint64_t term, bool preVote)
    {
        auto message = messageFrom(sender, term);
        message.mutable_vote_reply()->set_granted(true);
        message.mutable_vote_reply()->set_pre_vote(preVote);
        receive(message);
    }

    void receiveAppendReply(std::uint64_t sender, std::uint64_t index, std::uint64_t round = 0)
    {
        auto message = messageFrom(sender, replica->term().value);
        message.mutable_append_reply()->set_accepted(true);
        message.mutable_append_reply()->set_index(index);
        message.mutable_append_reply()->set_read_round(round);
        receive(message);
    }

    /// Advances the clock past the election timeout and makes replica 1 win the election with the votes of replicas 2 and 3.
    void becomeLeader()
    {
        clock.advance(options.electionTimeoutMax);
        replica->tick();
        replica->flush();
        const auto next = replica->term().value + 1;
        for (const bool preVote : { true, false }) {
            receiveVote(2, next, preVote);
            receiveVote(3, next, preVote);
        }
        ASSERT_TRUE(replica->isLeader());
    }

    static wire::ReplicaMessage appendRequest(std::uint64_t sender, std::uint64_t term, std::uint64_t index, std::uint64_t previousTerm)
    {
        auto message = messageFrom(sender, term);
        auto *request = message.mutable_append_request();
        request->set_previous_index(index - 1);
        request->set_previous_term(previousTerm);
        auto *entry = request->add_entries();
        entry->set_index(index);
        entry->set_term(term);
        entry->set_data("k=" + std::to_string(term));
        return message;
    }

    /// Last sent message that satisfies the predicate; null if there is none.
    const wire::ReplicaMessage *lastSent(const std::function<bool(const wire::ReplicaMessage &)> &matches) const
    {
        const auto it = std::find_if(sentMessages.rbegin(), sentMessages.rend(), matches);
        return it == sentMessages.rend() ? nullptr : &*it;
    }

    ReplicaOptions options;
    ManualClock clock;
    SeededRandom random{ 7 };
    HistoryChecker checker;
    MemoryLogStore store;
    RecordingMachine machine;
    std::unique_ptr<Replica> replica;
    std::vector<wire::ReplicaMessage> sentMessages;
    std::vector<std::uint64_t> syncCountsAtSend; ///< Value of store.syncCount() when each message was sent.
};

} // namespace Toucandeck
