#pragma once

#include "common/time.h"
#include "common/verdict.h"
#include "execution_journal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Toucandeck::Standin
{

/// One attempt of a caller and its answer.
struct Attempt
{
    std::uint32_t number = 0;
    std::int64_t sentNs = 0; ///< CLOCK_MONOTONIC.
    std::int64_t answeredNs = 0; ///< 0: no answer.
    std::uint32_t status = 0; ///< HTTP status; 0: no answer.
    std::optional<Verdict> verdict; ///< Nothing: no answer, or no verdict header.
    bool answerMatches = true; ///< The answer is complete and belongs to this request.
};

/// One request of a caller with all its attempts.
struct CallerRecord
{
    std::string id;
    std::string service;
    std::string key; ///< "-" if there is none.
    bool idempotent = true;
    std::vector<Attempt> attempts;
};

/// Comparison of the answers to callers with the executions at stand-in backend servers.
struct AuditReport
{
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0; ///< Requests with at least one 2xx answer.
    std::uint64_t refused = 0; ///< Requests whose attempts all got the verdict not-run.
    std::uint64_t unknown = 0; ///< The rest: no answer or may-have-run.
    std::uint64_t lost = 0; ///< Answered with the verdict ran, but never executed.
    std::uint64_t doubled = 0; ///< Non-idempotent and executed more than once.
    std::uint64_t falseNotRun = 0; ///< An attempt with the verdict not-run was executed.
    std::uint64_t wrongAnswers = 0; ///< Answers of another request, or truncated.
    std::uint64_t twoOwners = 0; ///< Executions of a key with an epoch below one seen before.
    Duration worstGap{}; ///< Longest time between two successful answers for one key.
    std::string firstViolation; ///< Description of the first violation, empty without one.

    /// Sum of all counts that must be zero.
    std::uint64_t violations() const;
};

/// Compares both sides. Keys with fewer than two successful answers do not count for worstGap.
AuditReport audit(const std::vector<CallerRecord> &records, std::vector<Execution> executions);

/// The report as one line of key=value fields.
std::string formatReport(const AuditReport &report);

/// Writes and reads caller records, one attempt per line.
Result<void> writeCallerRecords(const std::string &path, const std::vector<CallerRecord> &records);
Result<std::vector<CallerRecord>> readCallerRecords(const std::string &path);

} // namespace Toucandeck::Standin
