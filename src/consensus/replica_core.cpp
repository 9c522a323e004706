#include "consensus/replica_core.h"

#include "consensus/events.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck::internal
{

namespace
{

/// Callbacks may start proposals or reads, which need another pass. The limit keeps an iteration of the event loop short; remaining
/// work is done in the next one.
constexpr int kMaxPassesPerFlush = 3;

} // namespace

ReplicaCore::ReplicaCore(
    ReplicaOptions options, LogStore &store, StateMachine &machine, ReplicaTransport &transport, const Clock &clock, RandomSource &random)
    : m_options(std::move(options))
    , m_store(store)
    , m_machine(machine)
    , m_transport(transport)
    , m_clock(clock)
    , m_random(random)
    , m_logger(m_options.logger != nullptr ? *m_options.logger : m_nullLogger)
{
}

Result<void> ReplicaCore::load()
{
    BOOST_LEAF_AUTO(state, m_store.load());
    TOUCANDECK_ASSERT(state.replica, "a store has an identity");
    m_id = state.replica;
    m_hardState = state.hardState;
    if (state.snapshot) {
        BOOST_LEAF_CHECK(m_machine.restore(state.snapshot->data));
        m_log.resetTo(*state.snapshot);
        m_commitIndex = m_appliedIndex = state.snapshot->lastIndex;
        m_snapshot = std::make_shared<const Snapshot>(std::move(*state.snapshot));
    }
    for (auto &it : state.entries) {
        if (it.kind == EntryKind::Membership && !membershipOf(it)) {
            return fail(ErrorCode::Corrupt, fmt::format("the membership entry {} of the log is malformed", it.index.value));
        }
        m_log.append(std::move(it));
    }
    BOOST_LEAF_CHECK(startLog());
    m_syncedHardState = m_hardState;
    m_syncedIndex = m_log.lastIndex();
    m_loadTime = m_clock.now();
    resetElectionTimer();
    return {};
}

Result<void> ReplicaCore::startLog()
{
    if (!m_log.isEmpty() || m_hardState.term || !m_options.initialMembership.isVoter(m_id)) {
        return {};
    }
    m_hardState = HardState{ Term{ 1 }, ReplicaId{} };
    const LogEntry entry{ LogIndex{ 1 }, Term{ 1 }, EntryKind::Membership, toWire(m_options.initialMembership).SerializeAsString() };
    BOOST_LEAF_CHECK(m_store.saveHardState(m_hardState));
    BOOST_LEAF_CHECK(m_store.append(std::span(&entry, 1)));
    BOOST_LEAF_CHECK(m_store.sync());
    m_log.append(entry);
    m_logger.write(ConsensusEvents::kLogStarted, { field("replica", m_id.value), field("members", m_log.membership().members.size()) });
    return {};
}

void ReplicaCore::flush()
{
    for (int n = 0; n < kMaxPassesPerFlush; ++n) {
        flushOnce();
        if (!m_hasUnsyncedChanges && !hasUnsentReads() && m_readyCallbacks.empty()) {
            break;
        }
    }
}

void ReplicaCore::flushOnce()
{
    if (!m_failure) {
        sendBeforeSync();
        if (syncStore()) {
            afterSync();
        }
    }
    runCallbacks();
}

bool ReplicaCore::hasUnsentReads() const
{
    return std::any_of(m_pendingReads.begin(), m_pendingReads.end(), [this](const PendingRead &it) { return it.round > m_lastRound; });
}

void ReplicaCore::sendBeforeSync()
{
    if (m_role != Role::Leader) {
        return;
    }
    promoteLearners();
    const bool newReads = hasUnsentReads();
    if (newReads || m_heartbeatDue) {
        ++m_lastRound;
        m_lastRoundStart = m_clock.now();
        m_roundStarts.emplace(m_lastRound, m_lastRoundStart);
    }
    // Entries are sent before the local sync so that the leader and the followers sync in parallel.
    TOUCANDECK_ASSERT(m_syncedHardState.term == m_hardState.term, "a leader's term is synced before it sends messages in that term");
    for (auto &[replica, progress] : m_progress) {
        sendAppends(replica, progress, m_heartbeatDue || newReads);
    }
    m_heartbeatDue = false;
}

bool ReplicaCore::syncStore()
{
    if (m_hasUnsyncedChanges && !runOrStop([this] { return m_store.sync(); })) {
        return false;
    }
    m_hasUnsyncedChanges = false;
    m_syncedHardState = m_hardState;
    m_syncedIndex = m_log.lastIndex();
    return true;
}

void ReplicaCore::afterSync()
{
    if (m_role == Role::Candidate) {
        m_votes.insert(m_id);
        countVotes();
    }
    if (m_role == Role::Leader) {
        advanceLeaderCommit();
    } else {
        setCommit(std::max(m_commitIndex, m_leaderCommit));
    }
    applyCommitted();
    sendQueued();
    completeReads();
    takeSnapshotIfDue();
}

void ReplicaCore::sendQueued()
{
    const auto messages = std::exchange(m_outgoingMessages, {});
    for (const auto &it : messages) {
        const bool preVote = (it.has_vote_request() && it.vote_request().pre_vote()) || (it.has_vote_reply() && it.vote_reply().pre_vote());
        // Votes and acknowledgements of an earlier term are no longer valid.
        if (!preVote && it.term() != m_hardState.term.value) {
            continue;
        }
        checkSyncedBeforeSend(it);
        m_transport.send(ReplicaId{ it.to() }, it);
    }
}

void ReplicaCore::checkSyncedBeforeSend(const wire::ReplicaMessage &message) const
{
    if (message.has_append_reply() && message.append_reply().accepted()) {
        TOUCANDECK_ASSERT(message.append_reply().index() <= m_syncedIndex.value, "only synced entries are acknowledged");
    }
    if (message.has_snapshot_reply() && message.snapshot_reply().installed()) {
        TOUCANDECK_ASSERT(message.snapshot_reply().last_index() <= m_syncedIndex.value, "only a synced snapshot is acknowledged");
    }
    if (message.has_vote_reply() && message.vote_reply().granted() && !message.vote_reply().pre_vote()) {
        const HardState required{ Term{ message.term() }, ReplicaId{ message.to() } };
        TOUCANDECK_ASSERT(m_syncedHardState == required, "a vote is synced before it is sent");
    }
    if (message.has_vote_request() && !message.vote_request().pre_vote()) {
        const HardState required{ Term{ message.term() }, m_id };
        TOUCANDECK_ASSERT(m_syncedHardState == required, "a candidate's own vote is synced before it requests votes");
    }
}

void ReplicaCore::runCallbacks()
{
    const auto callbacks = std::exchange(m_readyCallbacks, {});
    for (const auto &it : callbacks) {
        it();
    }
}

bool ReplicaCore::runOrStop(const std::function<Result<void>()> &block)
{
    return handleError(
        [&block]() -> Result<bool> {
            BOOST_LEAF_CHECK(block());
            return true;
        },
        [this](const Error &error) {
            stop(error);
            return false;
        });
}

void ReplicaCore::stop(const Error &error)
{
    m_failure = error;
    m_logger.write(ConsensusEvents::kReplicaStopped, { field("code", toString(error.code)), field("reason", error.message) });
    stepDown("the replica stopped");
    m_outgoingMessages.clear();
}

void ReplicaCore::saveHardState(Term term, ReplicaId votedFor)
{
    TOUCANDECK_ASSERT(term >= m_hardState.term, "the term never decreases");
    TOUCANDECK_ASSERT(term > m_hardState.term || !m_hardState.votedFor || m_hardState.votedFor == votedFor,
                      "a replica votes at most once per term");
    if (term > m_hardState.term) {
        m_termLeader.reset();
    }
    m_hardState = HardState{ term, votedFor };
    m_hasUnsyncedChanges = true;
    runOrStop([this] { return m_store.saveHardState(m_hardState); });
}

bool ReplicaCore::appendToLog(LogEntry entry)
{
    m_hasUnsyncedChanges = true;
    if (!runOrStop([this, &entry] { return m_store.append(std::span(&entry, 1)); })) {
        return false;
    }
    m_log.append(std::move(entry));
    return true;
}

void ReplicaCore::truncateLog(LogIndex index)
{
    TOUCANDECK_ASSERT(m_role != Role::Leader, "a leader never truncates its own log");
    TOUCANDECK_ASSERT(index > m_commitIndex && index > m_leaderCommit, "a committed entry never changes");
    m_hasUnsyncedChanges = true;
    m_log.truncateFrom(index);
    m_syncedIndex = std::min(m_syncedIndex, m_log.lastIndex());
    runOrStop([this, index] { return m_store.truncateFrom(index); });
}

bool ReplicaCore::isLeader() const
{
    return m_role == Role::Leader;
}

bool ReplicaCore::isLeaderReady() const
{
    return isLeader() && m_appliedIndex >= m_termStartIndex;
}

ReplicaId ReplicaCore::id() const
{
    return m_id;
}

Term ReplicaCore::term() const
{
    return m_hardState.term;
}

std::optional<ReplicaId> ReplicaCore::leader() const
{
    return m_leader;
}

LogIndex ReplicaCore::commitIndex() const
{
    return m_commitIndex;
}

LogIndex ReplicaCore::appliedIndex() const
{
    return m_appliedIndex;
}

LogIndex ReplicaCore::snapshotIndex() const
{
    return m_snapshot ? m_snapshot->lastIndex : LogIndex{};
}

const ReplicaLog &ReplicaCore::log() const
{
    return m_log;
}

const std::optional<Error> &ReplicaCore::failure() const
{
    return m_failure;
}

} // namespace Toucandeck::internal
