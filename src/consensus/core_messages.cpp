#include "consensus/events.h"
#include "consensus/replica_core.h"

#include "common/assert.h"

namespace Toucandeck::internal
{

wire::ReplicaMessage ReplicaCore::createMessage(ReplicaId to) const
{
    wire::ReplicaMessage message;
    message.set_from(m_id.value);
    message.set_to(to.value);
    message.set_term(m_hardState.term.value);
    return message;
}

void ReplicaCore::enqueue(wire::ReplicaMessage message)
{
    m_outgoingMessages.push_back(std::move(message));
}

void ReplicaCore::receive(const wire::ReplicaMessage &message)
{
    // A replica that got a new identity at the same address still receives messages for its old identity.
    if (m_failure || message.to() != m_id.value || message.from() == m_id.value || message.from() == 0) {
        return;
    }
    if (acceptTerm(message)) {
        dispatch(message);
    }
}

bool ReplicaCore::acceptTerm(const wire::ReplicaMessage &message)
{
    const Term term{ message.term() };
    if (term < m_hardState.term) {
        rejectStaleTerm(message);
        return false;
    }
    // The request is dropped without adopting its term, as adopting it would end contact with the leader.
    if (message.has_vote_request() && !message.vote_request().pre_vote() && mustRefuseVotes()) {
        return false;
    }
    const bool isPreVoteRequest = message.has_vote_request() && message.vote_request().pre_vote();
    const bool isGrantedPreVote = message.has_vote_reply() && message.vote_reply().pre_vote() && message.vote_reply().granted();
    // Pre-votes carry the term that the candidate would start; no replica is in that term yet.
    if (term > m_hardState.term && !isPreVoteRequest && !isGrantedPreVote) {
        becomeFollower(term, std::nullopt);
    }
    return !m_failure;
}

void ReplicaCore::rejectStaleTerm(const wire::ReplicaMessage &message)
{
    auto reply = createMessage(ReplicaId{ message.from() });
    if (message.has_vote_request()) {
        reply.mutable_vote_reply()->set_pre_vote(message.vote_request().pre_vote());
    } else if (message.has_append_request() || message.has_snapshot_chunk()) {
        reply.mutable_append_reply();
    } else {
        return;
    }
    enqueue(std::move(reply));
}

void ReplicaCore::dispatch(const wire::ReplicaMessage &message)
{
    using Body = wire::ReplicaMessage;
    switch (message.body_case()) {
    case Body::kVoteRequest:
        return message.vote_request().pre_vote() ? onPreVoteRequest(message) : onVoteRequest(message);
    case Body::kVoteReply:
        return onVoteReply(message);
    case Body::kAppendRequest:
        return onAppendRequest(message);
    case Body::kAppendReply:
        return onAppendReply(message);
    case Body::kSnapshotChunk:
        return onSnapshotChunk(message);
    case Body::kSnapshotReply:
        return onSnapshotReply(message);
    case Body::BODY_NOT_SET:
        return dropMalformed(message, "message has no body");
    }
}

void ReplicaCore::dropMalformed(const wire::ReplicaMessage &message, std::string_view reason)
{
    m_logger.write(ConsensusEvents::kMessageDropped, { field("from", message.from()), field("reason", reason) });
}

} // namespace Toucandeck::internal
