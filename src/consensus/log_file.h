#pragma once

#include "consensus/log_entry.h"

#include <span>
#include <string>
#include <string_view>

namespace Toucandeck::internal
{

/// Format of the log file: kLogFileHeader, then one frame for each sync. A frame has a header (magic, payload length, CRC-32C of
/// the payload, CRC-32C of the header; 4 bytes each, little endian) and a payload of records. One frame for each sync makes the
/// frame that a crash tears always the last one. A rewritten file ends with a frame that holds the identity; as it is synced before it
/// gets its name, damage up to there is never a torn record.
inline constexpr std::string_view kLogFileHeader = "toucandeck-log1\n";

std::uint32_t crc32c(std::string_view data);

/// Frame with this payload, which must be shorter than 4 GiB.
std::string frame(std::string_view payload);

std::string identityRecord(ReplicaId replica);
std::string hardStateRecord(const HardState &state);
std::string entryRecord(const LogEntry &entry);
std::string truncateRecord(LogIndex index);
std::string snapshotRecord(const Snapshot &snapshot);

/// Replays the records of a file. An incomplete or damaged last frame is left out.
/// Errors: Corrupt (damage before the last frame, no identity, or records that do not fit together).
Result<StoredState> replayLogFile(std::string_view content, const std::string &path);

} // namespace Toucandeck::internal
