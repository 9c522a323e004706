#include "consensus/events.h"
#include "consensus/replica_core.h"

#include "common/assert.h"

namespace Toucandeck::internal
{

wire::ReplicaMessage ReplicaCore::message(ReplicaId to) const
{
    wire::ReplicaMessage message;
    message.set_from(m_id.value);
    message.set_to(to.value);
    message.set_term(m_hardState.term.value);
    return message;
}

void ReplicaCore::queue(wire::ReplicaMessage message)
{
    m_queue.push_back(std::move(message));
}

void ReplicaCore::receive(const wire::ReplicaMessage &message)
{
    // A replica with a new identity at a known address still gets messages for the old one.
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
        refuseOldTerm(message);
        return false;
    }
    // Disregarded as a whole: taking over the term would end the contact with the leader.
    if (message.has_vote_request() && !message.vote_request().pre_vote() && refusesVotes()) {
        return false;
    }
    const bool preVoteRequest = message.has_vote_request() && message.vote_request().pre_vote();
    const bool grantedPreVote = message.has_vote_reply() && message.vote_reply().pre_vote() && message.vote_reply().granted();
    // Pre-votes carry the term that the candidate would start, which nobody is in yet.
    if (term > m_hardState.term && !preVoteRequest && !grantedPreVote) {
        becomeFollower(term, std::nullopt);
    }
    return !m_failure;
}

void ReplicaCore::refuseOldTerm(const wire::ReplicaMessage &message)
{
    auto reply = this->message(ReplicaId{ message.from() });
    if (message.has_vote_request()) {
        reply.mutable_vote_reply()->set_pre_vote(message.vote_request().pre_vote());
    } else if (message.has_append_request() || message.has_snapshot_chunk()) {
        reply.mutable_append_reply();
    } else {
        return;
    }
    queue(std::move(reply));
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
        return dropMalformed(message, "no body");
    }
}

void ReplicaCore::dropMalformed(const wire::ReplicaMessage &message, std::string_view reason)
{
    m_logger.write(ConsensusEvents::kMessageDropped, { field("from", message.from()), field("reason", reason) });
}

} // namespace Toucandeck::internal
