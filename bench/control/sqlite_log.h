#pragma once

#include "consensus/log_entry.h"

#include <filesystem>
#include <span>

struct sqlite3;
struct sqlite3_stmt;

namespace Toucandeck
{

/// The part of a log store that a group commit needs, on SQLite with a write-ahead log in exclusive mode (no shared memory).
/// Only for comparison with FileLogStore. Errors end the process.
class SqliteLog
{
public:
    explicit SqliteLog(const std::filesystem::path &file);
    ~SqliteLog();

    SqliteLog(const SqliteLog &) = delete;
    SqliteLog &operator=(const SqliteLog &) = delete;

    void append(std::span<const LogEntry> entries);
    void sync();

private:
    void run(const char *sql);
    void check(int code, int expected);

    sqlite3 *m_db = nullptr;
    sqlite3_stmt *m_insert = nullptr;
    bool m_open = false; ///< A transaction is open.
};

} // namespace Toucandeck
