#pragma once

#include "consensus/log_entry.h"

#include <span>
#include <string>
#include <string_view>

namespace Toucandeck::internal
{

/// Format of the log file: kLogFileHeader, then one frame for each sync. A frame has a header (magic, payload length, CRC-32C of the
/// payload, CRC-32C of the header; 4 bytes each, little endian) and a payload of records. As each sync writes one frame, only the
/// last frame can be torn by a crash. A rewritten file ends with a frame that holds the identity. The file is synced before it is
/// renamed into place, so damage up to the end of that frame is corruption, not a torn write.
inline constexpr std::string_view kLogFileHeader = "toucandeck-log1\n";

std::uint32_t crc32c(std::string_view data);

/// Encodes a frame with the payload, which must be shorter than 4 GiB.
std::string encodeFrame(std::string_view payload);

/// Encode one record of the payload.
std::string encodeIdentity(ReplicaId replica);
std::string encodeHardState(const HardState &state);
std::string encodeEntry(const LogEntry &entry);
std::string encodeTruncation(LogIndex index);
std::string encodeSnapshot(const Snapshot &snapshot);

/// Replays the records of a log file. An incomplete or damaged last frame is ignored.
/// Errors: Corrupt (damage before the last frame, no identity, or inconsistent records).
Result<StoredState> replayLogFile(std::string_view content, const std::string &path);

} // namespace Toucandeck::internal
