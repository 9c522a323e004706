#pragma once

#include "common/result.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace Toucandeck::internal
{

/// A failed result of code Io that names the action, the path and errno.
boost::leaf::error_id systemError(std::string_view action, const std::filesystem::path &path);

/// Reads a whole file. Errors: Io.
Result<std::string> readFile(const std::filesystem::path &path);

/// Writes all bytes at the descriptor's position. Errors: Io.
Result<void> writeAll(int fd, std::string_view data, const std::filesystem::path &path);

/// Makes the names in the folder durable. Errors: Io.
Result<void> syncFolder(const std::filesystem::path &folder);

/// Replaces the file so that it has the old or the new content after a crash. Returns its descriptor, open for appending.
/// Errors: Io.
Result<int> replaceFile(const std::filesystem::path &path, std::string_view content);

} // namespace Toucandeck::internal
