#include "consensus/memory_log_store.h"

#include "common/assert.h"

namespace Toucandeck
{

MemoryLogStore::MemoryLogStore(ReplicaId replica)
{
    replaceDisk(replica);
}

Result<StoredState> MemoryLogStore::load()
{
    BOOST_LEAF_CHECK(checkUsable());
    return m_syncedState;
}

Result<void> MemoryLogStore::saveHardState(const HardState &state)
{
    BOOST_LEAF_CHECK(checkUsable());
    m_bufferedState.hardState = state;
    return {};
}

Result<void> MemoryLogStore::append(std::span<const LogEntry> entries)
{
    BOOST_LEAF_CHECK(checkUsable());
    for (const auto &it : entries) {
        const auto last = m_bufferedState.entries.empty() ? (m_bufferedState.snapshot ? m_bufferedState.snapshot->lastIndex : LogIndex{})
                                                          : m_bufferedState.entries.back().index;
        TOUCANDECK_ASSERT(it.index.value == last.value + 1, "the stored log has no gaps");
        m_bufferedState.entries.push_back(it);
    }
    return {};
}

Result<void> MemoryLogStore::truncateFrom(LogIndex index)
{
    BOOST_LEAF_CHECK(checkUsable());
    std::erase_if(m_bufferedState.entries, [index](const LogEntry &it) { return it.index >= index; });
    return {};
}

Result<void> MemoryLogStore::saveSnapshot(const Snapshot &snapshot)
{
    BOOST_LEAF_CHECK(checkUsable());
    discardEntriesCoveredBy(m_bufferedState, snapshot);
    m_bufferedState.snapshot = snapshot;
    return {};
}

Result<void> MemoryLogStore::sync()
{
    BOOST_LEAF_CHECK(checkUsable());
    if (m_failNextSync) {
        m_hasFailed = true;
        return fail(ErrorCode::Io, "injected sync failure");
    }
    m_syncedState = m_bufferedState;
    ++m_syncCount;
    return {};
}

void MemoryLogStore::discardUnsyncedChanges()
{
    m_bufferedState = m_syncedState;
    m_hasFailed = false;
    m_failNextSync = false;
}

void MemoryLogStore::replaceDisk(ReplicaId newReplica)
{
    TOUCANDECK_ASSERT(newReplica, "a store has an identity");
    m_syncedState = StoredState{};
    m_syncedState.replica = newReplica;
    discardUnsyncedChanges();
}

void MemoryLogStore::failNextSync()
{
    m_failNextSync = true;
}

const StoredState &MemoryLogStore::syncedState() const
{
    return m_syncedState;
}

std::uint64_t MemoryLogStore::syncCount() const
{
    return m_syncCount;
}

Result<void> MemoryLogStore::checkUsable() const
{
    if (m_hasFailed) {
        return fail(ErrorCode::Io, "the store has failed and must be reopened");
    }
    return {};
}

} // namespace Toucandeck
