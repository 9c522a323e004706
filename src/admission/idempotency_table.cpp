#include "admission/idempotency_table.h"

#include "common/assert.h"
#include "common/key_hash.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kRecordOverheadBytes = 384; // a hash node, a tree node, the record and allocator headers on x86-64

std::size_t idBytes(const IdempotencyId &id)
{
    // The id is stored twice: in m_records and in m_recordsByEndTime.
    return kRecordOverheadBytes + 2 * (id.service.size() + id.idempotencyKey.size());
}

std::size_t answerBytes(const StoredAnswer &answer)
{
    std::size_t n = sizeof(StoredAnswer) + answer.body.size();
    for (const auto &[name, value] : answer.headers) {
        n += sizeof(answer.headers.front()) + name.size() + value.size();
    }
    return n;
}

std::shared_ptr<const StoredAnswer> answerOf(const wire::IdempotencyRecord &record)
{
    auto answer = std::make_shared<StoredAnswer>();
    answer->status = record.status();
    answer->body = record.body();
    for (const auto &it : record.headers()) {
        answer->headers.emplace_back(it.name(), it.value());
    }
    return answer;
}

void setAnswer(wire::IdempotencyRecord &record, const StoredAnswer &answer)
{
    record.set_done(true);
    record.set_status(answer.status);
    record.set_body(answer.body);
    for (const auto &[name, value] : answer.headers) {
        auto *header = record.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
}

IdempotencyTable::RecordFilter inPartitions(std::span<const PartitionId> partitions)
{
    return [partitions](KeyHash, PartitionId it) { return std::find(partitions.begin(), partitions.end(), it) != partitions.end(); };
}

} // namespace

WallTime outcomeUnknownUntilAfterCrash(WallTime crashGrant, std::chrono::milliseconds clockSkew)
{
    return crashGrant + clockSkew;
}

IdempotencyTable::IdempotencyTable(const Clock &clock, IdempotencyOptions options)
    : m_clock(clock)
    , m_options(options)
{
}

IdempotencyTable::~IdempotencyTable() = default;

Result<BeginResult> IdempotencyTable::begin(const IdempotencyRequest &request)
{
    removeExpired();
    const auto it = m_records.find(request.id);
    if (it == m_records.end()) {
        return insertRunning(request);
    }
    switch (it->second.state) {
    case State::Running:
        it->second.waiters.push_back(request.waiter);
        return WaitForRunning{};
    case State::Done:
        return AnswerStored{ it->second.answer };
    case State::Unknown:
        break;
    }
    return OutcomeUnknown{};
}

Result<BeginResult> IdempotencyTable::insertRunning(const IdempotencyRequest &request)
{
    if (isOutcomeUnknown(request)) {
        return OutcomeUnknown{};
    }
    const auto bytes = idBytes(request.id) + m_options.reservedAnswerBytes;
    if (m_bytes + bytes > m_options.maxBytes) {
        return fail(ErrorCode::Overloaded, "the idempotency table is full; retry later");
    }
    Record record;
    record.partition = request.partition;
    record.bytes = bytes;
    m_records.emplace(request.id, std::move(record));
    m_bytes += bytes;
    TOUCANDECK_ASSERT(m_bytes <= m_options.maxBytes, "a new record never exceeds the memory limit");
    return RunNow{};
}

bool IdempotencyTable::isOutcomeUnknown(const IdempotencyRequest &request) const
{
    const auto now = m_clock.wallNow();
    // A first-sent time beyond the skew bound in the future comes from a wrong clock and is ignored.
    const bool hasValidFirstSent = request.firstSent && *request.firstSent <= now + m_options.clockSkew;
    const bool isCrashRelevant = request.outcomeUnknownUntil != WallTime{} && now - request.outcomeUnknownUntil < m_options.retention;
    if (isCrashRelevant && (!hasValidFirstSent || *request.firstSent <= request.outcomeUnknownUntil)) {
        return true;
    }
    // The record of an earlier attempt may have expired.
    return hasValidFirstSent && now - *request.firstSent > m_options.retention - m_options.clockSkew;
}

IdempotencyTable::Records::iterator IdempotencyTable::findRunning(const IdempotencyId &id)
{
    const auto it = m_records.find(id);
    TOUCANDECK_ASSERT(it != m_records.end() && it->second.state == State::Running, "only running work ends, and once");
    return it;
}

std::vector<std::uint64_t> IdempotencyTable::complete(const IdempotencyId &id, StoredAnswer answer)
{
    const auto it = findRunning(id);
    auto waiters = std::exchange(it->second.waiters, {});
    finishRecord(it, State::Done, std::make_shared<const StoredAnswer>(std::move(answer)), m_clock.now());
    return waiters;
}

std::vector<std::uint64_t> IdempotencyTable::abandon(const IdempotencyId &id, Verdict verdict)
{
    TOUCANDECK_ASSERT(verdict != Verdict::Ran, "a request that ran has an answer");
    const auto it = findRunning(id);
    auto waiters = std::exchange(it->second.waiters, {});
    if (verdict == Verdict::NotRun) {
        erase(it);
    } else {
        finishRecord(it, State::Unknown, nullptr, m_clock.now());
    }
    return waiters;
}

void IdempotencyTable::finishRecord(Records::iterator it, State state, std::shared_ptr<const StoredAnswer> answer, TimePoint endTime)
{
    auto &record = it->second;
    m_bytes -= record.bytes;
    record.bytes = idBytes(it->first) + (answer ? answerBytes(*answer) : 0);
    if (answer && m_bytes + record.bytes > m_options.maxBytes) {
        // If the answer does not fit, the record without it still prevents a second run.
        state = State::Unknown;
        answer = nullptr;
        record.bytes = idBytes(it->first);
    }
    m_bytes += record.bytes;
    record.state = state;
    record.answer = std::move(answer);
    record.endTime = endTime;
    m_recordsByEndTime.emplace(endTime, it->first);
}

void IdempotencyTable::erase(Records::iterator it)
{
    m_bytes -= it->second.bytes;
    const auto [first, last] = m_recordsByEndTime.equal_range(it->second.endTime);
    const auto entry = std::find_if(first, last, [&it](const auto &other) { return other.second == it->first; });
    if (it->second.state != State::Running && entry != last) {
        m_recordsByEndTime.erase(entry);
    }
    m_records.erase(it);
}

void IdempotencyTable::removeExpired()
{
    const auto oldest = m_clock.now() - m_options.retention;
    while (!m_recordsByEndTime.empty() && m_recordsByEndTime.begin()->first < oldest) {
        const auto it = m_records.find(m_recordsByEndTime.begin()->second);
        TOUCANDECK_ASSERT(it != m_records.end(), "each finished record is indexed by its end time once");
        erase(it);
    }
}

void IdempotencyTable::removeWaiter(const IdempotencyId &id, std::uint64_t waiter)
{
    const auto it = m_records.find(id);
    if (it != m_records.end()) {
        std::erase(it->second.waiters, waiter);
    }
}

std::vector<wire::IdempotencyRecord> IdempotencyTable::exportRecords(std::string_view service, std::span<const PartitionId> partitions)
{
    return exportRecords(service, inPartitions(partitions));
}

std::vector<wire::IdempotencyRecord> IdempotencyTable::exportRecords(std::string_view service, const RecordFilter &isSelected)
{
    removeExpired();
    std::vector<wire::IdempotencyRecord> exported;
    for (const auto &[id, record] : m_records) {
        if (id.service != service || !isSelected(id.keyHash, record.partition)) {
            continue;
        }
        auto &it = exported.emplace_back();
        it.set_service(id.service);
        it.set_key_hash(id.keyHash.value);
        it.set_idempotency_key(id.idempotencyKey);
        if (record.state == State::Done) {
            setAnswer(it, *record.answer);
        }
        if (record.state != State::Running) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - record.endTime);
            it.set_age_ms(static_cast<std::uint64_t>(age.count()));
        }
    }
    return exported;
}

void IdempotencyTable::importRecords(std::span<const wire::IdempotencyRecord> records, std::uint32_t partitions)
{
    for (const auto &it : records) {
        importRecord(it, partitions);
    }
    removeExpired();
}

void IdempotencyTable::importRecord(const wire::IdempotencyRecord &record, std::uint32_t partitions)
{
    const KeyHash hash{ record.key_hash() };
    const auto [it, isNew] = m_records.try_emplace(IdempotencyId{ record.service(), hash, record.idempotency_key() });
    // A resent transfer must not overwrite the newer state of this owner.
    if (!isNew) {
        return;
    }
    it->second.partition = partitionOf(hash, partitions);
    const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.retention);
    const auto age = std::min<std::uint64_t>(record.age_ms(), static_cast<std::uint64_t>(2 * retention.count()));
    const auto endTime = m_clock.now() - std::chrono::milliseconds(age);
    finishRecord(it, record.done() ? State::Done : State::Unknown, record.done() ? answerOf(record) : nullptr, endTime);
}

void IdempotencyTable::drop(std::string_view service, std::span<const PartitionId> partitions)
{
    drop(service, inPartitions(partitions));
}

void IdempotencyTable::drop(std::string_view service, const RecordFilter &isSelected)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto next = std::next(it);
        if (it->first.service == service && isSelected(it->first.keyHash, it->second.partition)) {
            TOUCANDECK_ASSERT(it->second.state != State::Running, "running requests end before their key moves");
            erase(it);
        }
        it = next;
    }
}

bool IdempotencyTable::isRunning(std::string_view service, PartitionId partition) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &it) {
        return it.first.service == service && it.second.partition == partition && it.second.state == State::Running;
    });
}

std::size_t IdempotencyTable::size() const
{
    return m_records.size();
}

std::size_t IdempotencyTable::bytes() const
{
    return m_bytes;
}

} // namespace Toucandeck
