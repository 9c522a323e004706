#pragma once

#include "common/result.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace Toucandeck::internal
{

/// Creates an error of code Io whose message names the action, the path and the text of errno.
boost::leaf::error_id systemError(std::string_view action, const std::filesystem::path &path);

/// Reads a whole file. Errors: Io.
Result<std::string> readFile(const std::filesystem::path &path);

/// Writes all bytes at the descriptor's position. Errors: Io.
Result<void> writeAll(int fd, std::string_view data, const std::filesystem::path &path);

/// Syncs the folder, which makes file creations and renames in it durable. Errors: Io.
Result<void> syncFolder(const std::filesystem::path &folder);

/// Replaces the file atomically: after a crash it has either the old or the new content. Returns the descriptor of the new file,
/// positioned at its end. Errors: Io.
Result<int> replaceFile(const std::filesystem::path &path, std::string_view content);

} // namespace Toucandeck::internal
