#pragma once

#include "consensus/log_store.h"

#include "common/random_source.h"

#include <filesystem>
#include <memory>
#include <string>

namespace Toucandeck
{

/// Log store in a data folder. Files: "log" (append-only; also holds the identity; rewritten by load() and by the first sync() after
/// saveSnapshot()) and "lock". A folder without a log belongs to a new replica. Keeps the entries after the snapshot in memory, as
/// rewriting the log needs them.
class FileLogStore : public LogStore
{
public:
    /// Opens the folder (creating it if missing) and locks it against other processes. A new folder gets a random identity.
    /// Errors: Io; Conflict (another process has locked the folder); Corrupt (the log is damaged other than by a torn last record).
    static Result<std::unique_ptr<FileLogStore>> open(const std::filesystem::path &folder, RandomSource &random);
    ~FileLogStore() override;

    FileLogStore(const FileLogStore &) = delete;
    FileLogStore &operator=(const FileLogStore &) = delete;

    /// Reads the log and rewrites it without a torn last record. Rewriting also makes durable what an earlier process wrote but did
    /// not sync before it terminated.
    Result<StoredState> load() override;
    Result<void> saveHardState(const HardState &state) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> saveSnapshot(const Snapshot &snapshot) override;
    Result<void> sync() override;

    ReplicaId replica() const;

private:
    explicit FileLogStore(std::filesystem::path folder);

    Result<void> lock();
    Result<void> createLog(RandomSource &random);
    Result<void> checkUsable() const;
    Result<void> syncPending();
    Result<void> rewrite();

    std::filesystem::path m_folder;
    int m_lockFd = -1;
    int m_logFd = -1;
    bool m_hasFailed = false; ///< A write or sync failed; the content on disk is unknown until the next load().
    StoredState m_state; ///< State including unsynced changes. Snapshot data is dropped once it is written.
    std::string m_pendingRecords; ///< Encoded records not yet written.
    bool m_isRewriteDue = false; ///< The next sync writes a new log file.
};

} // namespace Toucandeck
