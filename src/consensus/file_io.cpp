#include "consensus/file_io.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace Toucandeck::internal
{

boost::leaf::error_id systemError(std::string_view action, const std::filesystem::path &path)
{
    const int code = errno;
    return fail(ErrorCode::Io, fmt::format("cannot {} {}: {}", action, path.string(), std::generic_category().message(code)));
}

Result<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return systemError("open", path);
    }
    std::string content{ std::istreambuf_iterator<char>(file), {} };
    if (file.bad()) {
        return systemError("read", path);
    }
    return content;
}

Result<void> writeAll(int fd, std::string_view data, const std::filesystem::path &path)
{
    while (!data.empty()) {
        const auto n = ::write(fd, data.data(), data.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return systemError("write", path);
        }
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return {};
}

Result<void> syncFolder(const std::filesystem::path &folder)
{
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return systemError("open", folder);
    }
    const int failed = ::fsync(fd);
    const int code = errno;
    ::close(fd);
    errno = code;
    if (failed != 0) {
        return systemError("sync", folder);
    }
    return {};
}

Result<int> replaceFile(const std::filesystem::path &path, std::string_view content)
{
    auto temporary = path;
    temporary += ".new";
    const int fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) {
        return systemError("create", temporary);
    }
    auto written = [&]() -> Result<void> {
        BOOST_LEAF_CHECK(writeAll(fd, content, temporary));
        if (::fsync(fd) != 0) {
            return systemError("sync", temporary);
        }
        if (::rename(temporary.c_str(), path.c_str()) != 0) {
            return systemError("rename", temporary);
        }
        return syncFolder(path.parent_path());
    }();
    if (!written) {
        ::close(fd);
        return written.error();
    }
    return fd;
}

} // namespace Toucandeck::internal
