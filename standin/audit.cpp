#include "audit.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <sstream>
#include <unordered_map>

namespace Toucandeck::Standin
{

namespace
{

using ExecutionsById = std::unordered_map<std::string, std::vector<Execution>>;

constexpr bool isSuccess(std::uint32_t status)
{
    return status >= 200 && status < 300;
}

void violation(AuditReport &report, std::uint64_t &counter, const std::string &text)
{
    ++counter;
    if (report.firstViolation.empty()) {
        report.firstViolation = text;
    }
}

bool wasExecuted(const std::vector<Execution> &executions, std::uint32_t attempt)
{
    return std::any_of(executions.begin(), executions.end(), [attempt](const Execution &it) { return it.attempt == attempt; });
}

void classify(AuditReport &report, const CallerRecord &record)
{
    const auto succeeded = [](const Attempt &it) { return isSuccess(it.status); };
    const auto refused = [](const Attempt &it) { return it.verdict == Verdict::NotRun; };
    if (std::any_of(record.attempts.begin(), record.attempts.end(), succeeded)) {
        ++report.answered;
    } else if (std::all_of(record.attempts.begin(), record.attempts.end(), refused)) {
        ++report.refused;
    } else {
        ++report.unknown;
    }
}

void checkRecord(AuditReport &report, const CallerRecord &record, const std::vector<Execution> &executions)
{
    for (const auto &it : record.attempts) {
        if (!it.answerMatches) {
            violation(report, report.wrongAnswers, fmt::format("wrong answer to {} attempt {}", record.id, it.number));
        }
        if (it.verdict == Verdict::Ran && isSuccess(it.status) && executions.empty()) {
            violation(report, report.lost, fmt::format("{} was reported as ran but never executed", record.id));
        }
        if (it.verdict == Verdict::NotRun && wasExecuted(executions, it.number)) {
            violation(report, report.falseNotRun, fmt::format("{} attempt {} was reported as not-run but executed", record.id, it.number));
        }
    }
    if (!record.idempotent && executions.size() > 1) {
        violation(report, report.doubled, fmt::format("{} was executed {} times", record.id, executions.size()));
    }
}

void checkOwners(AuditReport &report, std::vector<Execution> &executions)
{
    const auto byStart = [](const Execution &a, const Execution &b) { return a.startedNs < b.startedNs; };
    std::sort(executions.begin(), executions.end(), byStart);
    std::unordered_map<std::string, Execution> latest;
    for (const auto &it : executions) {
        if (it.epoch == 0 || it.key == "-") {
            continue;
        }
        auto &last = latest[it.key];
        const bool sameEpochElsewhere = it.epoch == last.epoch && it.instance != last.instance;
        if (it.epoch < last.epoch || sameEpochElsewhere) {
            violation(
                report,
                report.twoOwners,
                fmt::format(
                    "key {} ran at {} with epoch {} after {} with epoch {}", it.key, it.instance, it.epoch, last.instance, last.epoch));
            continue;
        }
        last = it;
    }
}

void measureGaps(AuditReport &report, const std::vector<CallerRecord> &records)
{
    std::map<std::string, std::vector<std::int64_t>> successes;
    for (const auto &record : records) {
        for (const auto &it : record.attempts) {
            if (record.key != "-" && isSuccess(it.status)) {
                successes[record.service + '/' + record.key].push_back(it.answeredNs);
            }
        }
    }
    for (auto &[key, times] : successes) {
        std::sort(times.begin(), times.end());
        for (std::size_t n = 1; n < times.size(); ++n) {
            report.worstGap = std::max(report.worstGap, Duration(times[n] - times[n - 1]));
        }
    }
}

} // namespace

std::uint64_t AuditReport::violations() const
{
    return lost + doubled + falseNotRun + wrongAnswers + twoOwners;
}

AuditReport audit(const std::vector<CallerRecord> &records, std::vector<Execution> executions)
{
    AuditReport report;
    ExecutionsById byId;
    for (const auto &it : executions) {
        byId[it.id].push_back(it);
    }
    for (const auto &it : records) {
        ++report.requests;
        report.attempts += it.attempts.size();
        classify(report, it);
        checkRecord(report, it, byId[it.id]);
    }
    checkOwners(report, executions);
    measureGaps(report, records);
    return report;
}

std::string formatReport(const AuditReport &report)
{
    return fmt::format("sent={} attempts={} answered={} refused={} unknown={} lost={} doubled={} false_not_run={} wrong_answers={} "
                       "two_owners={} worst_gap_ms={}",
                       report.requests,
                       report.attempts,
                       report.answered,
                       report.refused,
                       report.unknown,
                       report.lost,
                       report.doubled,
                       report.falseNotRun,
                       report.wrongAnswers,
                       report.twoOwners,
                       std::chrono::duration_cast<std::chrono::milliseconds>(report.worstGap).count());
}

Result<void> writeCallerRecords(const std::string &path, const std::vector<CallerRecord> &records)
{
    std::ofstream out(path);
    for (const auto &record : records) {
        for (const auto &it : record.attempts) {
            const auto verdict = it.verdict ? toString(*it.verdict) : "none";
            out << fmt::format("{} {} {} {} {} {} {} {} {} {}\n",
                               record.id,
                               record.service,
                               record.key,
                               record.idempotent ? 1 : 0,
                               it.number,
                               it.sentNs,
                               it.answeredNs,
                               it.status,
                               verdict,
                               it.answerMatches ? 1 : 0);
        }
    }
    out.flush();
    if (!out) {
        return fail(ErrorCode::Io, fmt::format("cannot write caller records to '{}'", path));
    }
    return {};
}

Result<std::vector<CallerRecord>> readCallerRecords(const std::string &path)
{
    std::ifstream in(path);
    if (!in) {
        return fail(ErrorCode::NotFound, fmt::format("cannot read caller records from '{}'", path));
    }
    std::vector<CallerRecord> records;
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream buf(line);
        CallerRecord record;
        Attempt attempt;
        std::string verdict;
        if (!(buf >> record.id >> record.service >> record.key >> record.idempotent >> attempt.number >> attempt.sentNs
              >> attempt.answeredNs >> attempt.status >> verdict >> attempt.answerMatches)) {
            return fail(ErrorCode::InvalidArgument, fmt::format("'{}': malformed line '{}'", path, line));
        }
        attempt.verdict = verdictFromString(verdict);
        if (records.empty() || records.back().id != record.id) {
            records.push_back(std::move(record));
        }
        records.back().attempts.push_back(attempt);
    }
    return records;
}

} // namespace Toucandeck::Standin
