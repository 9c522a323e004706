#pragma once

#include "common/result.h"
#include "common/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Toucandeck::Standin
{

/// Start or end of the work for one request at a stand-in backend server.
struct Execution
{
    std::string id; ///< Idempotency-Key, or the load generator's id of a look-up.
    std::string key; ///< Key as sent by the caller; "-" if there is none.
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0; ///< Attempt number given by the load generator.
    std::int64_t startedNs = 0; ///< CLOCK_MONOTONIC, shared by all stand-ins of one VM.
    std::string instance;
};

/// Appends a line to a file at the start of each piece of work, so that the record survives a kill of the process.
class ExecutionJournal
{
public:
    /// Opens or creates @p path. An empty path gives a journal that keeps nothing.
    static Result<std::unique_ptr<ExecutionJournal>> open(const std::string &path);
    ~ExecutionJournal();
    ExecutionJournal(const ExecutionJournal &) = delete;
    ExecutionJournal &operator=(const ExecutionJournal &) = delete;

    void record(const Execution &execution);

    /// Reads all complete lines. Error NotFound if the file cannot be opened.
    static Result<std::vector<Execution>> read(const std::string &path);

private:
    explicit ExecutionJournal(int file);

    int m_file;
};

} // namespace Toucandeck::Standin
