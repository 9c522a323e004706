/// Cost of a group commit: append-only file (FileLogStore) against SQLite. bench_store [FOLDER] (default: build/bench_store.data,
/// removed afterwards). The folder must be on the kind of disk that a controller uses.
#include "sqlite_log.h"

#include "consensus/file_log_store.h"

#include "common/clock.h"

#include <algorithm>
#include <ctime>
#include <fmt/core.h>
#include <functional>

using namespace Toucandeck;

namespace
{

constexpr int kCommits = 1000;
constexpr std::size_t kEntryBytes = 256;

using Commit = std::function<void(std::span<const LogEntry>)>;

double cpuMicros()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

void measure(const char *name, std::size_t entriesPerCommit, const Commit &commit)
{
    const SystemClock clock;
    std::vector<double> micros;
    LogIndex last;
    const auto cpuBefore = cpuMicros();
    for (int n = 0; n < kCommits; ++n) {
        std::vector<LogEntry> entries;
        for (std::size_t i = 0; i < entriesPerCommit; ++i) {
            ++last.value;
            entries.push_back({ last, Term{ 1 }, EntryKind::Command, std::string(kEntryBytes, 'x') });
        }
        const auto start = clock.now();
        commit(entries);
        micros.push_back(std::chrono::duration<double, std::micro>(clock.now() - start).count());
    }
    const auto cpu = (cpuMicros() - cpuBefore) / kCommits;
    std::sort(micros.begin(), micros.end());
    fmt::print("store={} entries={} p50_us={:.0f} p99_us={:.0f} cpu_us={:.0f} n={}\n",
               name,
               entriesPerCommit,
               micros[kCommits / 2],
               micros[kCommits * 99 / 100],
               cpu,
               kCommits);
}

void measureFile(const std::filesystem::path &folder, std::size_t entriesPerCommit)
{
    SeededRandom random(1);
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(store, FileLogStore::open(folder / fmt::format("file{}", entriesPerCommit), random));
            measure("file", entriesPerCommit, [&store = store](std::span<const LogEntry> entries) {
                if (!store->append(entries) || !store->sync()) {
                    std::exit(1);
                }
            });
            return {};
        },
        [](const Error &error) {
            fmt::print(stderr, "bench_store: {}\n", error.message);
            std::exit(1);
        });
}

void measureSqlite(const std::filesystem::path &folder, std::size_t entriesPerCommit)
{
    SqliteLog log(folder / fmt::format("sqlite{}", entriesPerCommit));
    measure("sqlite", entriesPerCommit, [&log](std::span<const LogEntry> entries) {
        log.append(entries);
        log.sync();
    });
}

} // namespace

int main(int argc, char **argv)
{
    const std::filesystem::path folder = argc > 1 ? argv[1] : "build/bench_store.data";
    std::filesystem::create_directories(folder);
    for (const std::size_t entries : { 1, 8, 64 }) {
        measureFile(folder, entries);
        measureSqlite(folder, entries);
    }
    std::filesystem::remove_all(folder);
    return 0;
}
