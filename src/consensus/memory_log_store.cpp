#include "consensus/memory_log_store.h"

#include "common/assert.h"

namespace Toucandeck
{

MemoryLogStore::MemoryLogStore(ReplicaId replica)
{
    loseAll(replica);
}

Result<StoredState> MemoryLogStore::load()
{
    BOOST_LEAF_CHECK(checkUsable());
    return m_synced;
}

Result<void> MemoryLogStore::saveHardState(const HardState &state)
{
    BOOST_LEAF_CHECK(checkUsable());
    m_buffered.hardState = state;
    return {};
}

Result<void> MemoryLogStore::append(std::span<const LogEntry> entries)
{
    BOOST_LEAF_CHECK(checkUsable());
    for (const auto &it : entries) {
        const auto last = m_buffered.entries.empty() ? (m_buffered.snapshot ? m_buffered.snapshot->lastIndex : LogIndex{})
                                                     : m_buffered.entries.back().index;
        TOUCANDECK_ASSERT(it.index.value == last.value + 1, "the stored log has no gaps");
        m_buffered.entries.push_back(it);
    }
    return {};
}

Result<void> MemoryLogStore::truncateFrom(LogIndex index)
{
    BOOST_LEAF_CHECK(checkUsable());
    std::erase_if(m_buffered.entries, [index](const LogEntry &it) { return it.index >= index; });
    return {};
}

Result<void> MemoryLogStore::saveSnapshot(const Snapshot &snapshot)
{
    BOOST_LEAF_CHECK(checkUsable());
    replaceBySnapshot(m_buffered, snapshot);
    m_buffered.snapshot = snapshot;
    return {};
}

Result<void> MemoryLogStore::sync()
{
    BOOST_LEAF_CHECK(checkUsable());
    if (m_failNextSync) {
        m_broken = true;
        return fail(ErrorCode::Io, "injected sync failure");
    }
    m_synced = m_buffered;
    ++m_syncCount;
    return {};
}

void MemoryLogStore::loseUnsynced()
{
    m_buffered = m_synced;
    m_broken = false;
    m_failNextSync = false;
}

void MemoryLogStore::loseAll(ReplicaId newReplica)
{
    TOUCANDECK_ASSERT(newReplica, "a store has an identity");
    m_synced = StoredState{};
    m_synced.replica = newReplica;
    loseUnsynced();
}

void MemoryLogStore::failNextSync()
{
    m_failNextSync = true;
}

const StoredState &MemoryLogStore::synced() const
{
    return m_synced;
}

std::uint64_t MemoryLogStore::syncCount() const
{
    return m_syncCount;
}

Result<void> MemoryLogStore::checkUsable() const
{
    if (m_broken) {
        return fail(ErrorCode::Io, "the store has failed and must be opened anew");
    }
    return {};
}

} // namespace Toucandeck
