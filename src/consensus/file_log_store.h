#pragma once

#include "consensus/log_store.h"

#include "common/random_source.h"

#include <filesystem>
#include <memory>
#include <string>

namespace Toucandeck
{

/// Log store in a data folder. Files: "log" (append-only; rewritten by load() and after saveSnapshot(); holds the identity too) and
/// "lock". A folder without a log is a new replica. Keeps the entries after the snapshot in memory for the rewriting.
class FileLogStore : public LogStore
{
public:
    /// Opens the folder, creates it if missing, and locks it against other processes. A new folder gets a random identity.
    /// Errors: Io; Conflict (another process holds the folder); Corrupt (the log is damaged other than by a torn last record).
    static Result<std::unique_ptr<FileLogStore>> open(const std::filesystem::path &folder, RandomSource &random);
    ~FileLogStore() override;

    FileLogStore(const FileLogStore &) = delete;
    FileLogStore &operator=(const FileLogStore &) = delete;

    /// Reads the log and writes it anew, without a torn last record. What a process wrote but did not sync before it ended is
    /// readable here and becomes durable by this.
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
    bool m_broken = false; ///< A write or sync failed; what is on disk is unknown until the next load().
    StoredState m_state; ///< As after the next sync. Holds snapshot data only until that is written.
    std::string m_pending; ///< Records since the last sync.
    bool m_rewrite = false; ///< The next sync writes a new log file.
};

} // namespace Toucandeck
