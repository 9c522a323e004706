#include "consensus/events.h"
#include "consensus/replica_core.h"

#include "common/assert.h"

namespace Toucandeck::internal
{

void ReplicaCore::takeSnapshotIfDue()
{
    if (m_failure || m_appliedIndex.value - snapshotIndex().value < m_options.snapshotInterval) {
        return;
    }
    const auto index = m_appliedIndex;
    auto snapshot
        = std::make_shared<const Snapshot>(Snapshot{ index, m_log.termAt(index).value(), m_log.membershipAt(index), m_machine.snapshot() });
    m_dirty = true;
    if (!attempt([this, &snapshot] { return m_store.saveSnapshot(*snapshot); })) {
        return;
    }
    m_snapshot = std::move(snapshot);
    if (index.value > m_options.trailingEntries) {
        m_log.compactTo(LogIndex{ index.value - m_options.trailingEntries });
    }
    m_logger.write(ConsensusEvents::kSnapshotTaken, { field("index", index.value), field("bytes", m_snapshot->data.size()) });
}

void ReplicaCore::startSnapshotFor(Progress &progress)
{
    TOUCANDECK_ASSERT(m_snapshot != nullptr, "a compacted log has a snapshot");
    progress.sending = m_snapshot;
    progress.offset = 0;
    progress.chunkInFlight = false;
}

void ReplicaCore::sendChunk(ReplicaId to, Progress &progress)
{
    if (progress.chunkInFlight) {
        return;
    }
    const auto &snapshot = *progress.sending;
    auto message = this->message(to);
    auto *chunk = message.mutable_snapshot_chunk();
    chunk->set_last_index(snapshot.lastIndex.value);
    chunk->set_last_term(snapshot.lastTerm.value);
    *chunk->mutable_membership() = toWire(snapshot.membership);
    chunk->set_offset(progress.offset);
    chunk->set_data(snapshot.data.substr(progress.offset, m_options.snapshotChunkBytes));
    chunk->set_last(progress.offset + chunk->data().size() == snapshot.data.size());
    m_transport.send(to, message);
    progress.chunkInFlight = true;
}

void ReplicaCore::onSnapshotChunk(const wire::ReplicaMessage &message)
{
    const auto &chunk = message.snapshot_chunk();
    const ReplicaId from{ message.from() };
    const LogIndex lastIndex{ chunk.last_index() };
    if (fromWire(chunk.membership()).voterCount() == 0) {
        return dropMalformed(message, "snapshot without a voter");
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

/// Returns true if the chunk was the next one.
bool ReplicaCore::collectChunk(const wire::ReplicaMessage &message)
{
    const auto &chunk = message.snapshot_chunk();
    const ReceivedSnapshot fresh{ ReplicaId{ message.from() }, LogIndex{ chunk.last_index() }, Term{ chunk.last_term() }, {} };
    const auto &known = m_receivedSnapshot;
    if (!known || known->from != fresh.from || known->lastIndex != fresh.lastIndex || known->lastTerm != fresh.lastTerm) {
        m_receivedSnapshot = fresh;
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
    m_dirty = true;
    if (!attempt([this, &snapshot] { return m_store.saveSnapshot(snapshot); })
        || !attempt([this, &snapshot] { return m_machine.restore(snapshot.data); })) {
        return;
    }
    if (m_log.termAt(snapshot.lastIndex) == snapshot.lastTerm) {
        m_log.compactTo(snapshot.lastIndex);
    } else {
        m_log.resetTo(snapshot);
    }
    setCommit(snapshot.lastIndex);
    m_appliedIndex = snapshot.lastIndex;
    m_logger.write(ConsensusEvents::kSnapshotInstalled, { field("index", snapshot.lastIndex.value), field("bytes", snapshot.data.size()) });
    m_snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
}

void ReplicaCore::replyToChunk(ReplicaId to, LogIndex lastIndex, bool installed)
{
    auto message = this->message(to);
    auto *reply = message.mutable_snapshot_reply();
    reply->set_offset(m_receivedSnapshot ? m_receivedSnapshot->data.size() : 0);
    reply->set_installed(installed);
    reply->set_last_index(lastIndex.value);
    queue(std::move(message));
}

void ReplicaCore::onSnapshotReply(const wire::ReplicaMessage &message)
{
    const auto found = m_progress.find(ReplicaId{ message.from() });
    if (m_role != Role::Leader || found == m_progress.end()) {
        return;
    }
    auto &progress = found->second;
    const auto &reply = message.snapshot_reply();
    progress.lastHeard = m_clock.now();
    const LogIndex lastIndex{ reply.last_index() };
    if (!progress.sending || progress.sending->lastIndex != lastIndex) {
        return;
    }
    progress.chunkInFlight = false;
    if (!reply.installed()) {
        progress.offset = std::min<std::size_t>(reply.offset(), progress.sending->data.size());
        return;
    }
    TOUCANDECK_ASSERT(lastIndex <= m_log.lastIndex(), "a follower acknowledges only what the leader has sent");
    progress.match = std::max(progress.match, lastIndex);
    progress.next = LogIndex{ progress.match.value + 1 };
    progress.probing = true;
    progress.inFlight = 0;
    progress.sending.reset();
}

} // namespace Toucandeck::internal
