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
        return fail(ErrorCode::Conflict, fmt::format("another process uses the data folder {}", m_folder.string()));
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
    // The folder's own name must survive too, or the next start would find no log and take a new identity.
    return syncFolder(m_folder.parent_path());
}

Result<StoredState> FileLogStore::load()
{
    const auto path = m_folder / kLogName;
    m_broken = true;
    BOOST_LEAF_AUTO(content, readFile(path));
    BOOST_LEAF_AUTO(state, replayLogFile(content, path.string()));
    m_state = state;
    BOOST_LEAF_CHECK(rewrite());
    m_broken = false;
    return state;
}

Result<void> FileLogStore::checkUsable() const
{
    if (m_broken) {
        return fail(ErrorCode::Io, fmt::format("the log in {} must be loaded anew after a failure", m_folder.string()));
    }
    return {};
}

Result<void> FileLogStore::saveHardState(const HardState &state)
{
    BOOST_LEAF_CHECK(checkUsable());
    m_state.hardState = state;
    m_pending += hardStateRecord(state);
    return {};
}

Result<void> FileLogStore::append(std::span<const LogEntry> entries)
{
    BOOST_LEAF_CHECK(checkUsable());
    for (const auto &it : entries) {
        m_state.entries.push_back(it);
        m_pending += entryRecord(it);
    }
    return {};
}

Result<void> FileLogStore::truncateFrom(LogIndex index)
{
    BOOST_LEAF_CHECK(checkUsable());
    std::erase_if(m_state.entries, [index](const LogEntry &it) { return it.index >= index; });
    m_pending += truncateRecord(index);
    return {};
}

Result<void> FileLogStore::saveSnapshot(const Snapshot &snapshot)
{
    BOOST_LEAF_CHECK(checkUsable());
    replaceBySnapshot(m_state, snapshot);
    m_state.snapshot = snapshot;
    m_rewrite = true;
    return {};
}

Result<void> FileLogStore::sync()
{
    BOOST_LEAF_CHECK(checkUsable());
    // After a failed sync the kernel may have dropped the data and report success the next time.
    m_broken = true;
    BOOST_LEAF_CHECK(m_rewrite ? rewrite() : syncPending());
    m_broken = false;
    return {};
}

Result<void> FileLogStore::syncPending()
{
    if (m_pending.empty()) {
        return {};
    }
    const auto path = m_folder / kLogName;
    BOOST_LEAF_CHECK(writeAll(m_logFd, frame(m_pending), path));
    if (::fdatasync(m_logFd) != 0) {
        return systemError("sync", path);
    }
    m_pending.clear();
    return {};
}

Result<void> FileLogStore::rewrite()
{
    auto content = std::string(kLogFileHeader);
    if (m_state.snapshot) {
        content += frame(snapshotRecord(*m_state.snapshot));
    }
    auto rest = hardStateRecord(m_state.hardState);
    for (const auto &it : m_state.entries) {
        rest += entryRecord(it);
    }
    content += frame(rest);
    content += frame(identityRecord(m_state.replica));
    BOOST_LEAF_AUTO(fd, replaceFile(m_folder / kLogName, content));
    if (m_logFd >= 0) {
        ::close(m_logFd);
    }
    m_logFd = fd;
    m_pending.clear();
    m_rewrite = false;
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
