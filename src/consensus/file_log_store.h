#pragma once

#include "consensus/log_store.h"

#include "common/random_source.h"

#include <filesystem>
#include <memory>

namespace Toucandeck
{

/// Log store in a data folder.
class FileLogStore : public LogStore
{
public:
    /// Opens the folder, creates it if missing, and locks it against other processes. A new folder gets a random identity.
    /// Errors: Io; Conflict (another process holds the folder); Corrupt (identity or log is damaged).
    static Result<std::unique_ptr<FileLogStore>> open(const std::filesystem::path &folder, RandomSource &random);
};

} // namespace Toucandeck
