#pragma once

#include "consensus/log_store.h"

namespace Toucandeck
{

/// In-memory log store with fault injection, for tests and randomised simulations.
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

    /// Drops all changes since the last sync and clears an injected failure. Simulates a crash of the VM.
    void discardUnsyncedChanges();

    /// Clears the store and gives it a new identity. Simulates the loss and replacement of the disk.
    void replaceDisk(ReplicaId newReplica);

    /// Makes the next sync() fail. After that all calls fail until discardUnsyncedChanges().
    void failNextSync();

    /// State that a crash would preserve.
    const StoredState &syncedState() const;

    /// Number of successful calls of sync().
    std::uint64_t syncCount() const;

private:
    Result<void> checkUsable() const;

    StoredState m_syncedState;
    StoredState m_bufferedState;
    bool m_failNextSync = false;
    bool m_hasFailed = false;
    std::uint64_t m_syncCount = 0;
};

} // namespace Toucandeck
