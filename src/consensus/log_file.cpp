#include "consensus/log_file.h"

#include "common/assert.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <fmt/format.h>
#include <limits>

namespace Toucandeck::internal
{

namespace
{

constexpr std::uint32_t kFrameMagic = 0x31464454; // "TDF1"
constexpr std::size_t kFrameHeaderBytes = 16;

enum class RecordType : std::uint8_t {
    HardState = 1,
    Entry = 2,
    Truncate = 3,
    Snapshot = 4,
    Identity = 5,
};

template<class T>
void appendValue(std::string &buf, T value)
{
    const auto little = boost::endian::native_to_little(value);
    buf.append(reinterpret_cast<const char *>(&little), sizeof little);
}

void appendBytes(std::string &buf, std::string_view data)
{
    appendValue(buf, static_cast<std::uint64_t>(data.size()));
    buf += data;
}

/// Decodes values from the front of a payload. After a truncated value, isValid() is false and all further values are zero.
class Reader
{
public:
    explicit Reader(std::string_view data)
        : m_data(data)
    {
    }

    template<class T>
    T get()
    {
        T value{};
        const auto raw = consume(sizeof value);
        if (m_isValid) {
            std::memcpy(&value, raw.data(), sizeof value);
        }
        return boost::endian::little_to_native(value);
    }

    std::string getBytes()
    {
        return std::string(consume(get<std::uint64_t>()));
    }

    bool isAtEnd() const
    {
        return m_data.empty();
    }

    bool isValid() const
    {
        return m_isValid;
    }

private:
    std::string_view consume(std::uint64_t size)
    {
        if (!m_isValid || size > m_data.size()) {
            m_isValid = false;
            m_data = {};
            return {};
        }
        const auto bytes = m_data.substr(0, size);
        m_data.remove_prefix(size);
        return bytes;
    }

    std::string_view m_data;
    bool m_isValid = true;
};

struct FrameHeader
{
    std::uint64_t length = 0;
    std::uint32_t payloadCrc = 0;
};

/// Header of the frame at the front of @p data; nothing if it is truncated or has a wrong magic number or checksum.
std::optional<FrameHeader> readHeader(std::string_view data)
{
    if (data.size() < kFrameHeaderBytes) {
        return std::nullopt;
    }
    Reader reader(data);
    const auto magic = reader.get<std::uint32_t>();
    const auto length = reader.get<std::uint32_t>();
    const auto payloadCrc = reader.get<std::uint32_t>();
    const auto headerCrc = reader.get<std::uint32_t>();
    if (magic != kFrameMagic || headerCrc != crc32c(data.substr(0, kFrameHeaderBytes - sizeof headerCrc))) {
        return std::nullopt;
    }
    return FrameHeader{ length, payloadCrc };
}

/// Payload of the frame at the front of @p data; nothing if any part is missing or damaged.
std::optional<std::string_view> readFrame(std::string_view data)
{
    const auto header = readHeader(data);
    if (!header || data.size() - kFrameHeaderBytes < header->length) {
        return std::nullopt;
    }
    const auto payload = data.substr(kFrameHeaderBytes, header->length);
    return crc32c(payload) == header->payloadCrc ? std::optional(payload) : std::nullopt;
}

/// True if the damaged frame at the front of @p rest may have been torn by a crash: no valid frame follows it.
bool isTorn(std::string_view rest)
{
    if (const auto header = readHeader(rest)) {
        return rest.size() - kFrameHeaderBytes <= header->length;
    }
    for (std::size_t offset = 1; offset + kFrameHeaderBytes <= rest.size(); ++offset) {
        if (readFrame(rest.substr(offset))) {
            return false;
        }
    }
    return true;
}

LogIndex lastIndexOf(const StoredState &state)
{
    if (!state.entries.empty()) {
        return state.entries.back().index;
    }
    return state.snapshot ? state.snapshot->lastIndex : LogIndex{};
}

bool readEntry(Reader &reader, StoredState &state)
{
    LogEntry entry;
    entry.index.value = reader.get<std::uint64_t>();
    entry.term.value = reader.get<std::uint64_t>();
    const auto kind = reader.get<std::uint8_t>();
    entry.kind = static_cast<EntryKind>(kind);
    entry.data = reader.getBytes();
    const bool isConsistent = kind <= static_cast<std::uint8_t>(EntryKind::Noop) && entry.index.value == lastIndexOf(state).value + 1;
    state.entries.push_back(std::move(entry));
    return isConsistent;
}

bool readTruncate(Reader &reader, StoredState &state)
{
    const LogIndex index{ reader.get<std::uint64_t>() };
    const auto before = state.entries.size();
    std::erase_if(state.entries, [index](const LogEntry &it) { return it.index >= index; });
    return state.entries.size() < before;
}

bool readSnapshot(Reader &reader, StoredState &state)
{
    Snapshot snapshot;
    snapshot.lastIndex.value = reader.get<std::uint64_t>();
    snapshot.lastTerm.value = reader.get<std::uint64_t>();
    wire::MembershipConfig config;
    const bool parsed = config.ParseFromString(reader.getBytes());
    snapshot.membership = fromWire(config);
    snapshot.data = reader.getBytes();
    discardEntriesCoveredBy(state, snapshot);
    state.snapshot = std::move(snapshot);
    return parsed;
}

bool readHardState(Reader &reader, StoredState &state)
{
    state.hardState.term.value = reader.get<std::uint64_t>();
    state.hardState.votedFor.value = reader.get<std::uint64_t>();
    return true;
}

bool readIdentity(Reader &reader, StoredState &state)
{
    state.replica.value = reader.get<std::uint64_t>();
    return static_cast<bool>(state.replica);
}

bool readRecord(Reader &reader, StoredState &state)
{
    switch (RecordType{ reader.get<std::uint8_t>() }) {
    case RecordType::HardState:
        return readHardState(reader, state);
    case RecordType::Entry:
        return readEntry(reader, state);
    case RecordType::Truncate:
        return readTruncate(reader, state);
    case RecordType::Snapshot:
        return readSnapshot(reader, state);
    case RecordType::Identity:
        return readIdentity(reader, state);
    }
    return false;
}

} // namespace

std::uint32_t crc32c(std::string_view data)
{
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    crc.process_bytes(data.data(), data.size());
    return crc.checksum();
}

std::string encodeFrame(std::string_view payload)
{
    TOUCANDECK_ASSERT(payload.size() <= std::numeric_limits<std::uint32_t>::max(), "a frame has a 32-bit length");
    std::string buf;
    buf.reserve(kFrameHeaderBytes + payload.size());
    appendValue(buf, kFrameMagic);
    appendValue(buf, static_cast<std::uint32_t>(payload.size()));
    appendValue(buf, crc32c(payload));
    appendValue(buf, crc32c(buf));
    buf += payload;
    return buf;
}

std::string encodeIdentity(ReplicaId replica)
{
    std::string buf(1, static_cast<char>(RecordType::Identity));
    appendValue(buf, replica.value);
    return buf;
}

std::string encodeHardState(const HardState &state)
{
    std::string buf(1, static_cast<char>(RecordType::HardState));
    appendValue(buf, state.term.value);
    appendValue(buf, state.votedFor.value);
    return buf;
}

std::string encodeEntry(const LogEntry &entry)
{
    std::string buf(1, static_cast<char>(RecordType::Entry));
    appendValue(buf, entry.index.value);
    appendValue(buf, entry.term.value);
    appendValue(buf, static_cast<std::uint8_t>(entry.kind));
    appendBytes(buf, entry.data);
    return buf;
}

std::string encodeTruncation(LogIndex index)
{
    std::string buf(1, static_cast<char>(RecordType::Truncate));
    appendValue(buf, index.value);
    return buf;
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    std::string buf(1, static_cast<char>(RecordType::Snapshot));
    appendValue(buf, snapshot.lastIndex.value);
    appendValue(buf, snapshot.lastTerm.value);
    appendBytes(buf, toWire(snapshot.membership).SerializeAsString());
    appendBytes(buf, snapshot.data);
    return buf;
}

Result<StoredState> replayLogFile(std::string_view content, const std::string &path)
{
    if (!content.starts_with(kLogFileHeader)) {
        return fail(ErrorCode::Corrupt, fmt::format("{} does not start with the header of a log file", path));
    }
    StoredState state;
    std::size_t offset = kLogFileHeader.size();
    while (offset < content.size()) {
        const auto payload = readFrame(content.substr(offset));
        if (!payload) {
            if (isTorn(content.substr(offset))) {
                break;
            }
            return fail(ErrorCode::Corrupt,
                        fmt::format("{} is damaged at byte {}: checksum mismatch before the last record", path, offset));
        }
        Reader reader(*payload);
        while (!reader.isAtEnd()) {
            if (!readRecord(reader, state) || !reader.isValid()) {
                return fail(ErrorCode::Corrupt, fmt::format("{} is damaged at byte {}: inconsistent records", path, offset));
            }
        }
        offset += kFrameHeaderBytes + payload->size();
    }
    if (!state.replica) {
        return fail(ErrorCode::Corrupt, fmt::format("{} is damaged at byte {}: the identity is missing", path, offset));
    }
    return state;
}

} // namespace Toucandeck::internal
