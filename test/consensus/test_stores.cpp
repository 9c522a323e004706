// Guards against stores that lose synced data, keep a torn record after a crash, or mistake corruption for the end of the log.
#include "consensus/file_log_store.h"
#include "replica_fixture.h"

#include <fstream>
#include <rapidcheck/gtest.h>
#include <sstream>
#include <unistd.h>

using namespace Toucandeck;
namespace fs = std::filesystem;

namespace
{

/// Temporary folder that is removed at the end of the test.
class TestFolder
{
public:
    TestFolder()
    {
        static int count = 0;
        path = fs::temp_directory_path() / fmt::format("toucandeck-test-{}-{}", ::getpid(), ++count);
        fs::remove_all(path);
    }

    ~TestFolder()
    {
        fs::remove_all(path);
    }

    fs::path path;
};

std::unique_ptr<FileLogStore> openStore(const fs::path &folder, std::uint64_t seed = 1)
{
    SeededRandom random(seed);
    return handleError([&] { return FileLogStore::open(folder, random); }, [](const Error &) { return std::unique_ptr<FileLogStore>(); });
}

Error openError(const fs::path &folder)
{
    SeededRandom random(1);
    return handleError(
        [&]() -> Result<Error> {
            BOOST_LEAF_CHECK(FileLogStore::open(folder, random));
            return Error{ ErrorCode::NotFound, "no error", {} };
        },
        [](const Error &error) { return error; });
}

StoredState load(LogStore &store)
{
    return *valueOf<StoredState>([&] { return store.load(); });
}

LogEntry entry(std::uint64_t index, std::uint64_t term, std::string data = "data")
{
    return { LogIndex{ index }, Term{ term }, EntryKind::Command, std::move(data) };
}

void appendOne(LogStore &store, const LogEntry &entry)
{
    ASSERT_TRUE(store.append(std::span(&entry, 1)));
}

std::string readAll(const fs::path &path)
{
    std::ostringstream content;
    content << std::ifstream(path, std::ios::binary).rdbuf();
    return content.str();
}

void writeAll(const fs::path &path, const std::string &content)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

bool equal(const StoredState &one, const StoredState &other)
{
    return one.hardState == other.hardState && one.snapshot == other.snapshot && one.entries == other.entries;
}

/// Writes entries 1, 2 and 3 with one sync each, which appends three frames to the initial log. Returns the size of the log after
/// each sync.
std::vector<std::size_t> writeThreeEntries(const fs::path &folder)
{
    std::vector<std::size_t> sizes;
    const auto store = openStore(folder);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        appendOne(*store, entry(n, 1));
        EXPECT_TRUE(store->sync());
        sizes.push_back(fs::file_size(folder / "log"));
    }
    return sizes;
}

} // namespace

TEST(FileLogStore, KeepsIdentityAndStateAcrossOpenings)
{
    const TestFolder folder;
    auto store = openStore(folder.path, 1);
    const auto id = store->replica();
    appendOne(*store, entry(1, 1));
    ASSERT_TRUE(store->saveHardState({ Term{ 3 }, ReplicaId{ 9 } }));
    ASSERT_TRUE(store->sync());
    store = nullptr;
    store = openStore(folder.path, 2);
    EXPECT_EQ(store->replica(), id);
    EXPECT_EQ(load(*store).hardState, (HardState{ Term{ 3 }, ReplicaId{ 9 } }));
    EXPECT_EQ(load(*store).entries, std::vector{ entry(1, 1) });
}

TEST(FileLogStore, EmptyFolderGetsANewIdentity)
{
    const TestFolder folder;
    const auto id = openStore(folder.path, 1)->replica();
    fs::remove_all(folder.path);
    EXPECT_NE(openStore(folder.path, 2)->replica(), id);
}

TEST(FileLogStore, RefusesASecondProcess)
{
    const TestFolder folder;
    const auto store = openStore(folder.path);
    EXPECT_EQ(openError(folder.path).code, ErrorCode::Conflict);
}

TEST(FileLogStore, CutsOffATornLastRecordAtAnyByte)
{
    const TestFolder folder;
    const auto sizes = writeThreeEntries(folder.path);
    const auto content = readAll(folder.path / "log");
    for (auto size = sizes[1]; size < sizes[2]; ++size) {
        writeAll(folder.path / "log", content.substr(0, size));
        auto store = openStore(folder.path);
        ASSERT_TRUE(store) << "cut at " << size;
        ASSERT_EQ(load(*store).entries.size(), 2U) << "cut at " << size;
        appendOne(*store, entry(3, 2));
        ASSERT_TRUE(store->sync());
        store = nullptr;
        ASSERT_EQ(load(*openStore(folder.path)).entries.back().term, Term{ 2 });
    }
}

TEST(FileLogStore, CutsOffALastRecordWithHoles)
{
    const TestFolder folder;
    const auto sizes = writeThreeEntries(folder.path);
    auto content = readAll(folder.path / "log");
    // A crash may leave the first page of the last write empty and the second one written.
    content.replace(sizes[1], 20, 20, '\0');
    writeAll(folder.path / "log", content);
    EXPECT_EQ(load(*openStore(folder.path)).entries.size(), 2U);
}

TEST(FileLogStore, DamageBeforeTheLastRecordIsCorrupt)
{
    const TestFolder folder;
    const auto sizes = writeThreeEntries(folder.path);
    const auto content = readAll(folder.path / "log");
    for (std::size_t offset = 0; offset < sizes[1]; ++offset) {
        auto damaged = content;
        damaged[offset] = static_cast<char>(damaged[offset] ^ 0x10);
        writeAll(folder.path / "log", damaged);
        const auto error = openError(folder.path);
        ASSERT_EQ(error.code, ErrorCode::Corrupt) << "damage at " << offset;
        ASSERT_NE(error.message.find((folder.path / "log").string()), std::string::npos);
    }
}

TEST(FileLogStore, DamageInARewrittenLogIsNeverATornRecord)
{
    const TestFolder folder;
    writeThreeEntries(folder.path);
    ASSERT_TRUE(openStore(folder.path)); // rewrites the log
    const auto content = readAll(folder.path / "log");
    for (std::size_t offset = 0; offset < content.size(); ++offset) {
        auto damaged = content;
        damaged[offset] = static_cast<char>(damaged[offset] ^ 0x01);
        writeAll(folder.path / "log", damaged);
        ASSERT_EQ(openError(folder.path).code, ErrorCode::Corrupt) << "damage at " << offset;
    }
}

TEST(MemoryLogStore, InjectsFaults)
{
    MemoryLogStore store(ReplicaId{ 1 });
    appendOne(store, entry(1, 1));
    ASSERT_TRUE(store.sync());
    appendOne(store, entry(2, 1));
    store.failNextSync();
    EXPECT_FALSE(store.sync());
    EXPECT_EQ(errorOf([&] { return store.sync(); }), ErrorCode::Io);
    store.discardUnsyncedChanges();
    EXPECT_EQ(load(store).entries.size(), 1U);
    store.replaceDisk(ReplicaId{ 2 });
    EXPECT_EQ(load(store).replica, ReplicaId{ 2 });
    EXPECT_TRUE(load(store).entries.empty());
}

namespace
{

/// Applies one random operation to both stores.
void randomOperation(SeededRandom &random, std::uint64_t &last, std::uint64_t &base, const std::vector<LogStore *> &stores)
{
    const auto kind = random.below(8);
    const auto value = random.next();
    const bool canTruncate = last > base;
    const auto at = canTruncate ? base + 1 + value % (last - base) : 0;
    for (auto *it : stores) {
        if (kind < 4) {
            appendOne(*it, entry(last + 1, 1, std::string(value % 50, 'x')));
        } else if (kind == 4) {
            ASSERT_TRUE(it->saveHardState({ Term{ value }, ReplicaId{ value % 3 } }));
        } else if (kind == 5 && canTruncate) {
            ASSERT_TRUE(it->truncateFrom(LogIndex{ at }));
        } else if (kind == 6 && canTruncate) {
            ASSERT_TRUE(it->saveSnapshot({ LogIndex{ at }, Term{ 1 }, {}, std::to_string(value) }));
        } else {
            ASSERT_TRUE(it->sync());
        }
    }
    last = kind < 4 ? last + 1 : (kind == 5 && canTruncate ? at - 1 : last);
    base = kind == 6 && canTruncate ? at : base;
}

} // namespace

RC_GTEST_PROP(FileLogStore, HoldsTheSameAsTheMemoryStore, ())
{
    const TestFolder folder;
    SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
    MemoryLogStore memory(ReplicaId{ 1 });
    auto file = openStore(folder.path);
    std::uint64_t last = 0;
    std::uint64_t base = 0;
    for (int n = 0; n < 60; ++n) {
        randomOperation(random, last, base, { &memory, file.get() });
    }
    RC_ASSERT(memory.sync());
    RC_ASSERT(file->sync());
    file = nullptr;
    file = openStore(folder.path);
    RC_ASSERT(equal(load(*file), load(memory)));
}
