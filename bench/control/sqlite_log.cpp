#include "sqlite_log.h"

#include <cstdlib>
#include <fmt/core.h>
#include <sqlite3.h>

namespace Toucandeck
{

SqliteLog::SqliteLog(const std::filesystem::path &file)
{
    check(sqlite3_open(file.c_str(), &m_db), SQLITE_OK);
    run("PRAGMA locking_mode=EXCLUSIVE");
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    run("CREATE TABLE entry (idx INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, data BLOB)");
    check(sqlite3_prepare_v2(m_db, "INSERT INTO entry VALUES (?, ?, ?, ?)", -1, &m_insert, nullptr), SQLITE_OK);
}

SqliteLog::~SqliteLog()
{
    sqlite3_finalize(m_insert);
    sqlite3_close(m_db);
}

void SqliteLog::append(std::span<const LogEntry> entries)
{
    if (!m_open) {
        run("BEGIN");
        m_open = true;
    }
    for (const auto &it : entries) {
        sqlite3_bind_int64(m_insert, 1, static_cast<sqlite3_int64>(it.index.value));
        sqlite3_bind_int64(m_insert, 2, static_cast<sqlite3_int64>(it.term.value));
        sqlite3_bind_int(m_insert, 3, static_cast<int>(it.kind));
        sqlite3_bind_blob(m_insert, 4, it.data.data(), static_cast<int>(it.data.size()), SQLITE_STATIC);
        check(sqlite3_step(m_insert), SQLITE_DONE);
        sqlite3_reset(m_insert);
    }
}

void SqliteLog::sync()
{
    run("COMMIT");
    m_open = false;
}

void SqliteLog::run(const char *sql)
{
    check(sqlite3_exec(m_db, sql, nullptr, nullptr, nullptr), SQLITE_OK);
}

void SqliteLog::check(int code, int expected)
{
    if (code != expected) {
        fmt::print(stderr, "bench_store: sqlite: {}\n", sqlite3_errmsg(m_db));
        std::exit(1);
    }
}

} // namespace Toucandeck
