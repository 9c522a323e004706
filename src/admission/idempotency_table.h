#pragma once

#include "admission/idempotency_record.h"
#include "forward.pb.h"

#include "common/clock.h"
#include "common/result.h"

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
    Duration retention = std::chrono::minutes(10);
    std::size_t maxBytes = 32U << 20; ///< A quarter of the 128 MB that control may use per node.
    std::size_t answerReserve = 4096; ///< Set aside for the answer of each running request.
    std::chrono::milliseconds clockSkew = std::chrono::milliseconds(250); ///< Bound between the wall clocks of callers and routers.
};

/// The request must run now; end it with complete() or abandon().
struct RunNow
{
};

/// The same work runs; complete() or abandon() returns the waiter.
struct WaitForRunning
{
};

/// The work ran before.
struct AnswerStored
{
    std::shared_ptr<const StoredAnswer> answer;
};

/// The work may have run and its outcome is not known: may-have-run.
struct OutcomeUnknown
{
};

using BeginResult = std::variant<RunNow, WaitForRunning, AnswerStored, OutcomeUnknown>;

/// Bound for IdempotencyRequest::unknownBefore after a partition was granted at @p crashGrant without a graceful move.
WallTime unknownBeforeAfterCrash(WallTime crashGrant, std::chrono::milliseconds clockSkew = IdempotencyOptions().clockSkew);

/// Remembers which work ran, so that work with the same idempotency key runs at most once.
class IdempotencyTable
{
public:
    explicit IdempotencyTable(const Clock &clock, IdempotencyOptions options = {});
    ~IdempotencyTable();
    IdempotencyTable(const IdempotencyTable &) = delete;
    IdempotencyTable &operator=(const IdempotencyTable &) = delete;

    /// Fails with Overloaded and not-run if the bound on bytes is reached.
    Result<BeginResult> begin(const IdempotencyRequest &request);

    /// The running work got its answer. Returns the waiters, each of which gets the same answer.
    std::vector<std::uint64_t> complete(const IdempotencyId &id, StoredAnswer answer);

    /// The running work ended without an answer. With NotRun the record is dropped and each waiter may call begin() again;
    /// with MayHaveRun it is kept as unknown and each waiter gets may-have-run. @p verdict must not be Ran.
    std::vector<std::uint64_t> abandon(const IdempotencyId &id, Verdict verdict);

    /// The waiter does not wait any more.
    void removeWaiter(const IdempotencyId &id, std::uint64_t waiter);

    /// Records of the partitions for a graceful move; running work is exported as unknown. Keeps them until drop().
    std::vector<wire::IdempotencyRecord> exportRecords(std::string_view service, std::span<const PartitionId> partitions);

    /// Adds records from the previous owner. They are never dropped for lack of room, but their answers may be: such work
    /// becomes unknown. @p partitions is the number of partitions of the service.
    void importRecords(std::span<const wire::IdempotencyRecord> records, std::uint32_t partitions);

    /// Forgets the records of partitions that the new owner has acknowledged. No work of these may be running.
    void drop(std::string_view service, std::span<const PartitionId> partitions);

    /// Whether work of the partition is running.
    bool isRunning(std::string_view service, PartitionId partition) const;

    std::size_t size() const;
    std::size_t bytes() const; ///< Room taken, the reserve for running requests included.

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
        TimePoint ended;
        std::shared_ptr<const StoredAnswer> answer;
        std::vector<std::uint64_t> waiters;
    };
    using Records = std::unordered_map<IdempotencyId, Record>;

    void expire();
    void end(Records::iterator it, State state, std::shared_ptr<const StoredAnswer> answer, TimePoint ended);
    void erase(Records::iterator it);
    void importOne(const wire::IdempotencyRecord &record, std::uint32_t partitions);
    bool isOutcomeLost(const IdempotencyRequest &request) const;
    Result<BeginResult> insertRunning(const IdempotencyRequest &request);
    Records::iterator running(const IdempotencyId &id);

    const Clock &m_clock;
    IdempotencyOptions m_options;
    Records m_records;
    std::multimap<TimePoint, IdempotencyId> m_byEnd; ///< Ended records, oldest first.
    std::size_t m_bytes = 0;
};

} // namespace Toucandeck
