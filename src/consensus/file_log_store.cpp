#include "consensus/file_log_store.h"

#include "consensus/file_io.h"
#include "consensus/log_file.h"

#include <cerrno>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace Toucandeck
{

using namespace internal;

namespace
{

constexpr std::string_view kLogName = "log";
constexpr std::string_view kLockName = "lock";

} // namespace

Result<std::unique_ptr<FileLogStore>> FileLogStore::open(const std::filesystem::path &folder, RandomSource &random)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec) {
        return fail(ErrorCode::Io, fmt::format("cannot create {}: {}", folder.string(), ec.message()));
    }
    std::unique_ptr<FileLogStore> store(new FileLogStore(std::filesystem::absolute(folder / ".").lexically_normal().parent_path()));
    BOOST_LEAF_CHECK(store->lock());
    BOOST_LEAF_CHECK(store->createLog(random));
    BOOST_LEAF_CHECK(store->load());
    return store;
}

FileLogStore::FileLogStore(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
}

FileLogStore::~FileLogStore()
{
    for (const int it : { m_logFd, m_lockFd }) {
        if (it >= 0) {
            ::close(it);
        }
    }
}

Result<void> FileLogStore::lock()
{
    const auto path = m_folder / kLockName;
    m_lockFd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (m_lockFd < 0) {
        return systemError("open", path);
    }
    if (::flock(m_lockFd, LOCK_EX | LOCK_NB) == 0) {
        return {};
    }
    if (errno == EWOULDBLOCK) {
        return fail(ErrorCode::Conflict, fmt::format("another process has locked the data folder {}", m_folder.string()));
    }
    return systemError("lock", path);
}

Result<void> FileLogStore::createLog(RandomSource &random)
{
    if (std::filesystem::exists(m_folder / kLogName)) {
        return {};
    }
    do {
        m_state.replica.value = random.next();
    } while (!m_state.replica);
    BOOST_LEAF_CHECK(rewrite());
    // The folder's entry in its parent must be durable too. Otherwise the next start after a crash may find no log and create a new
    // identity.
    return syncFolder(m_folder.parent_path());
}

Result<StoredState> FileLogStore::load()
{
    const auto path = m_folder / kLogName;
    m_hasFailed = true;
    BOOST_LEAF_AUTO(content, readFile(path));
    BOOST_LEAF_AUTO(state, replayLogFile(content, path.string()));
    m_state = state;
    BOOST_LEAF_CHECK(rewrite());
    m_hasFailed = false;
    return state;
}

Result<void> FileLogStore::checkUsable() const
{
    if (m_hasFailed) {
        return fail(ErrorCode::Io, fmt::format("the log in {} must be reloaded after a failure", m_folder.string()));
    }
    return {};
}

Result<void> FileLogStore::saveHardState(const HardState &state)
{
    BOOST_LEAF_CHECK(checkUsable());
    m_state.hardState = state;
    m_pendingRecords += encodeHardState(state);
    return {};
}

Result<void> FileLogStore::append(std::span<const LogEntry> entries)
{
    BOOST_LEAF_CHECK(checkUsable());
    for (const auto &it : entries) {
        m_state.entries.push_back(it);
        m_pendingRecords += encodeEntry(it);
    }
    return {};
}

Result<void> FileLogStore::truncateFrom(LogIndex index)
{
    BOOST_LEAF_CHECK(checkUsable());
    std::erase_if(m_state.entries, [index](const LogEntry &it) { return it.index >= index; });
    m_pendingRecords += encodeTruncation(index);
    return {};
}

Result<void> FileLogStore::saveSnapshot(const Snapshot &snapshot)
{
    BOOST_LEAF_CHECK(checkUsable());
    discardEntriesCoveredBy(m_state, snapshot);
    m_state.snapshot = snapshot;
    m_isRewriteDue = true;
    return {};
}

Result<void> FileLogStore::sync()
{
    BOOST_LEAF_CHECK(checkUsable());
    // After a failed sync the kernel may have dropped the data, yet report success for the next sync.
    m_hasFailed = true;
    BOOST_LEAF_CHECK(m_isRewriteDue ? rewrite() : syncPending());
    m_hasFailed = false;
    return {};
}

Result<void> FileLogStore::syncPending()
{
    if (m_pendingRecords.empty()) {
        return {};
    }
    const auto path = m_folder / kLogName;
    BOOST_LEAF_CHECK(writeAll(m_logFd, encodeFrame(m_pendingRecords), path));
    if (::fdatasync(m_logFd) != 0) {
        return systemError("sync", path);
    }
    m_pendingRecords.clear();
    return {};
}

Result<void> FileLogStore::rewrite()
{
    auto content = std::string(kLogFileHeader);
    if (m_state.snapshot) {
        content += encodeFrame(encodeSnapshot(*m_state.snapshot));
    }
    auto records = encodeHardState(m_state.hardState);
    for (const auto &it : m_state.entries) {
        records += encodeEntry(it);
    }
    content += encodeFrame(records);
    content += encodeFrame(encodeIdentity(m_state.replica));
    BOOST_LEAF_AUTO(fd, replaceFile(m_folder / kLogName, content));
    if (m_logFd >= 0) {
        ::close(m_logFd);
    }
    m_logFd = fd;
    m_pendingRecords.clear();
    m_isRewriteDue = false;
    if (m_state.snapshot) {
        m_state.snapshot->data = {};
    }
    return {};
}

ReplicaId FileLogStore::replica() const
{
    return m_state.replica;
}

} // namespace Toucandeck
