#include "consensus/events.h"
#include "consensus/replica_core.h"

#include "common/assert.h"

namespace Toucandeck::internal
{

void ReplicaCore::takeSnapshotIfDue()
{
    const bool due
        = m_appliedIndex.value - snapshotIndex().value >= m_options.snapshotInterval || m_unsnapshottedBytes >= m_options.snapshotBytes;
    if (m_failure || !due) {
        return;
    }
    const auto index = m_appliedIndex;
    auto snapshot
        = std::make_shared<const Snapshot>(Snapshot{ index, m_log.termAt(index).value(), m_log.membershipAt(index), m_machine.snapshot() });
    m_hasUnsyncedChanges = true;
    if (!runOrStop([this, &snapshot] { return m_store.saveSnapshot(*snapshot); })) {
        return;
    }
    m_snapshot = std::move(snapshot);
    m_unsnapshottedBytes = 0;
    m_log.compactTo(m_log.compactionIndex(index, m_options.trailingEntries, m_options.trailingBytes));
    m_logger.write(ConsensusEvents::kSnapshotTaken, { field("index", index.value), field("bytes", m_snapshot->data.size()) });
}

void ReplicaCore::startSnapshotFor(Progress &progress)
{
    TOUCANDECK_ASSERT(m_snapshot != nullptr, "a compacted log has a snapshot");
    progress.snapshotInTransfer = m_snapshot;
    progress.snapshotOffset = 0;
    progress.isChunkUnanswered = false;
}

void ReplicaCore::sendChunk(ReplicaId to, Progress &progress)
{
    if (progress.isChunkUnanswered) {
        return;
    }
    const auto &snapshot = *progress.snapshotInTransfer;
    auto message = createMessage(to);
    auto *chunk = message.mutable_snapshot_chunk();
    chunk->set_last_index(snapshot.lastIndex.value);
    chunk->set_last_term(snapshot.lastTerm.value);
    *chunk->mutable_membership() = toWire(snapshot.membership);
    chunk->set_offset(progress.snapshotOffset);
    chunk->set_data(snapshot.data.substr(progress.snapshotOffset, m_options.snapshotChunkBytes));
    chunk->set_last(progress.snapshotOffset + chunk->data().size() == snapshot.data.size());
    m_transport.send(to, message);
    progress.isChunkUnanswered = true;
}

void ReplicaCore::onSnapshotChunk(const wire::ReplicaMessage &message)
{
    const auto &chunk = message.snapshot_chunk();
    const ReplicaId from{ message.from() };
    const LogIndex lastIndex{ chunk.last_index() };
    if (fromWire(chunk.membership()).voterCount() == 0) {
        return dropMalformed(message, "snapshot membership has no voter");
    }
    followLeader(from);
    if (lastIndex <= m_commitIndex) {
        return replyToChunk(from, lastIndex, true);
    }
    if (!collectChunk(message) || !chunk.last()) {
        return replyToChunk(from, lastIndex, false);
    }
    installSnapshot(chunk);
    replyToChunk(from, lastIndex, true);
}

/// Appends the chunk to the received snapshot data. Returns false if it was not the expected next chunk.
bool ReplicaCore::collectChunk(const wire::ReplicaMessage &message)
{
    const auto &chunk = message.snapshot_chunk();
    const ReceivedSnapshot incoming{ ReplicaId{ message.from() }, LogIndex{ chunk.last_index() }, Term{ chunk.last_term() }, {} };
    const auto &partial = m_receivedSnapshot;
    if (!partial || partial->from != incoming.from || partial->lastIndex != incoming.lastIndex || partial->lastTerm != incoming.lastTerm) {
        m_receivedSnapshot = incoming;
    }
    if (chunk.offset() != m_receivedSnapshot->data.size()) {
        return false;
    }
    m_receivedSnapshot->data += chunk.data();
    return true;
}

void ReplicaCore::installSnapshot(const wire::SnapshotChunk &chunk)
{
    Snapshot snapshot{ LogIndex{ chunk.last_index() }, Term{ chunk.last_term() }, fromWire(chunk.membership()), {} };
    snapshot.data = std::move(m_receivedSnapshot->data);
    m_receivedSnapshot.reset();
    m_hasUnsyncedChanges = true;
    if (!runOrStop([this, &snapshot] { return m_store.saveSnapshot(snapshot); })
        || !runOrStop([this, &snapshot] { return m_machine.restore(snapshot.data); })) {
        return;
    }
    if (m_log.termAt(snapshot.lastIndex) == snapshot.lastTerm) {
        m_log.compactTo(snapshot.lastIndex);
    } else {
        m_log.resetTo(snapshot);
    }
    setCommit(snapshot.lastIndex);
    m_appliedIndex = snapshot.lastIndex;
    m_unsnapshottedBytes = 0;
    m_logger.write(ConsensusEvents::kSnapshotInstalled, { field("index", snapshot.lastIndex.value), field("bytes", snapshot.data.size()) });
    m_snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
}

void ReplicaCore::replyToChunk(ReplicaId to, LogIndex lastIndex, bool installed)
{
    auto message = createMessage(to);
    auto *reply = message.mutable_snapshot_reply();
    reply->set_offset(m_receivedSnapshot ? m_receivedSnapshot->data.size() : 0);
    reply->set_installed(installed);
    reply->set_last_index(lastIndex.value);
    enqueue(std::move(message));
}

void ReplicaCore::onSnapshotReply(const wire::ReplicaMessage &message)
{
    const auto found = m_progress.find(ReplicaId{ message.from() });
    if (m_role != Role::Leader || found == m_progress.end()) {
        return;
    }
    auto &progress = found->second;
    const auto &reply = message.snapshot_reply();
    progress.lastContact = m_clock.now();
    const LogIndex lastIndex{ reply.last_index() };
    if (!progress.snapshotInTransfer || progress.snapshotInTransfer->lastIndex != lastIndex) {
        return;
    }
    progress.isChunkUnanswered = false;
    if (!reply.installed()) {
        progress.snapshotOffset = std::min<std::size_t>(reply.offset(), progress.snapshotInTransfer->data.size());
        return;
    }
    TOUCANDECK_ASSERT(lastIndex <= m_log.lastIndex(), "a follower acknowledges only what the leader has sent");
    progress.matchIndex = std::max(progress.matchIndex, lastIndex);
    progress.nextIndex = LogIndex{ progress.matchIndex.value + 1 };
    progress.isProbing = true;
    progress.unansweredAppends = 0;
    progress.snapshotInTransfer.reset();
}

} // namespace Toucandeck::internal
