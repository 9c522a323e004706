#pragma once

#include "consensus/log_entry.h"

#include <span>

namespace Toucandeck
{

/// Durable storage of one replica. Changes take effect in the order of the calls and are durable only after sync().
/// After a failed call the store is unusable and must be reopened.
class LogStore
{
public:
    virtual ~LogStore() = default;

    /// Reads the identity, hard state, snapshot and entries. All returned data is durable.
    /// Errors: Corrupt (a checksum fails), Io.
    virtual Result<StoredState> load() = 0;

    virtual Result<void> saveHardState(const HardState &state) = 0;

    /// Appends entries; their indexes must follow the last one without a gap.
    virtual Result<void> append(std::span<const LogEntry> entries) = 0;

    /// Removes the entry at the index and all after it.
    virtual Result<void> truncateFrom(LogIndex index) = 0;

    /// Replaces the log up to the snapshot's index. Later entries stay only if the entry at that index has the snapshot's
    /// term; otherwise the whole log is replaced.
    virtual Result<void> saveSnapshot(const Snapshot &snapshot) = 0;

    /// Makes all earlier changes durable. Errors: Io.
    virtual Result<void> sync() = 0;
};

} // namespace Toucandeck
