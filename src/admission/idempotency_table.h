#pragma once

#include "admission/idempotency_record.h"
#include "forward.pb.h"

#include "common/clock.h"
#include "common/result.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

struct IdempotencyOptions
{
    Duration retention = std::chrono::minutes(10); ///< How long a finished record is kept.
    std::size_t maxBytes = 32U << 20; ///< Memory limit: a quarter of the 128 MB that control may use per node.
    std::size_t reservedAnswerBytes = 4096; ///< Reserved for the answer of each running request.
    /// Maximum difference between the wall clocks of callers and routers.
    std::chrono::milliseconds clockSkew = std::chrono::milliseconds(250);
};

/// The request must run now; finish it with complete() or abandon().
struct RunNow
{
};

/// A request with the same id is running; its complete() or abandon() returns the waiter.
struct WaitForRunning
{
};

/// The request has already run; this is its answer.
struct AnswerStored
{
    std::shared_ptr<const StoredAnswer> answer;
};

/// The request may have run with an unknown outcome (verdict may-have-run).
struct OutcomeUnknown
{
};

using BeginResult = std::variant<RunNow, WaitForRunning, AnswerStored, OutcomeUnknown>;

/// Value of IdempotencyRequest::outcomeUnknownUntil for a partition that was granted at @p crashGrant without a graceful move.
WallTime outcomeUnknownUntilAfterCrash(WallTime crashGrant, std::chrono::milliseconds clockSkew = IdempotencyOptions().clockSkew);

/// Records of running and finished requests, so that requests with the same idempotency key run at most once.
class IdempotencyTable
{
public:
    /// Selects the records of a service by the hash of their key and its partition.
    using RecordFilter = std::function<bool(KeyHash, PartitionId)>;

    explicit IdempotencyTable(const Clock &clock, IdempotencyOptions options = {});
    ~IdempotencyTable();
    IdempotencyTable(const IdempotencyTable &) = delete;
    IdempotencyTable &operator=(const IdempotencyTable &) = delete;

    /// Looks up the request and records a new one as running. Fails with Overloaded (verdict not-run) if the memory limit is reached.
    Result<BeginResult> begin(const IdempotencyRequest &request);

    /// Stores the answer of a running request. Returns the waiters, each of which gets the same answer.
    std::vector<std::uint64_t> complete(const IdempotencyId &id, StoredAnswer answer);

    /// Ends a running request without an answer. With NotRun the record is dropped and each waiter may call begin() again;
    /// with MayHaveRun it is kept as unknown and each waiter gets may-have-run. @p verdict must not be Ran.
    std::vector<std::uint64_t> abandon(const IdempotencyId &id, Verdict verdict);

    /// Removes a waiter that no longer waits.
    void removeWaiter(const IdempotencyId &id, std::uint64_t waiter);

    /// Returns the selected records for a graceful move, those of running requests as unknown. The table keeps them until drop().
    std::vector<wire::IdempotencyRecord> exportRecords(std::string_view service, const RecordFilter &isSelected);
    /// Returns all records of the partitions.
    std::vector<wire::IdempotencyRecord> exportRecords(std::string_view service, std::span<const PartitionId> partitions);

    /// Adds records of the previous owner. Every record that is new here is kept, but its answer is dropped if the memory limit is reached;
    /// its outcome is then unknown. @p partitions is the number of partitions of the service.
    void importRecords(std::span<const wire::IdempotencyRecord> records, std::uint32_t partitions);

    /// Removes the selected records, which the new owner has acknowledged. No request of these may be running.
    void drop(std::string_view service, const RecordFilter &isSelected);
    /// Removes all records of the partitions.
    void drop(std::string_view service, std::span<const PartitionId> partitions);

    /// Whether a request of the partition is running.
    bool isRunning(std::string_view service, PartitionId partition) const;

    std::size_t size() const;
    std::size_t bytes() const; ///< Memory in use, including the reserve for running requests.

private:
    enum class State {
        Running,
        Done,
        Unknown,
    };
    struct Record
    {
        State state = State::Running;
        PartitionId partition;
        std::size_t bytes = 0;
        TimePoint endTime;
        std::shared_ptr<const StoredAnswer> answer;
        std::vector<std::uint64_t> waiters;
    };
    using Records = std::unordered_map<IdempotencyId, Record>;

    void removeExpired();
    void finishRecord(Records::iterator it, State state, std::shared_ptr<const StoredAnswer> answer, TimePoint endTime);
    void erase(Records::iterator it);
    void importRecord(const wire::IdempotencyRecord &record, std::uint32_t partitions);
    bool isOutcomeUnknown(const IdempotencyRequest &request) const;
    Result<BeginResult> insertRunning(const IdempotencyRequest &request);
    Records::iterator findRunning(const IdempotencyId &id);

    const Clock &m_clock;
    IdempotencyOptions m_options;
    Records m_records;
    std::multimap<TimePoint, IdempotencyId> m_recordsByEndTime; ///< Finished records, oldest first.
    std::size_t m_bytes = 0;
};

} // namespace Toucandeck
