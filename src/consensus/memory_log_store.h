#pragma once

#include "consensus/log_store.h"

namespace Toucandeck
{

/// Log store in memory with fault injection, for tests and randomised runs.
class MemoryLogStore : public LogStore
{
public:
    explicit MemoryLogStore(ReplicaId replica);

    Result<StoredState> load() override;
    Result<void> saveHardState(const HardState &state) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> saveSnapshot(const Snapshot &snapshot) override;
    Result<void> sync() override;

    /// Drops all changes after the last sync, as a crash of the VM does.
    void loseUnsynced();

    /// Drops everything and takes a new identity, as a new disk does.
    void loseAll(ReplicaId newReplica);

    /// Lets the next sync() fail. The store then refuses every call until loseUnsynced().
    void failNextSync();

    /// What would survive a crash now.
    const StoredState &synced() const;

    /// Number of successful calls of sync().
    std::uint64_t syncCount() const;

private:
    Result<void> checkUsable() const;

    StoredState m_synced;
    StoredState m_buffered;
    bool m_failNextSync = false;
    bool m_broken = false;
    std::uint64_t m_syncCount = 0;
};

} // namespace Toucandeck
