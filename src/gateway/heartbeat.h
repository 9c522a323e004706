#pragma once

#include "common/time.h"
#include "fleet/key_rows.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Between two heartbeats of a backend server where the settings do not say.
inline constexpr std::chrono::milliseconds kDefaultHeartbeatInterval{ 870 };

/// Keys that a backend server says it holds, or still works on.
struct HeldKeys
{
    KeyRange range;
    std::uint64_t fence = 0;
};

/// Keys that a backend server has released since its last acknowledged heartbeat.
struct ReleasedKeys
{
    KeyRange range;
    std::string handover; ///< Token for the next holder.
};

/// What a backend server says of itself, about once in each heartbeat interval.
struct Heartbeat
{
    std::string instance; ///< Its id; another process may take it later.
    std::int64_t bornMs = 0; ///< Start of the process, in milliseconds since the Unix epoch; tells incarnations apart.
    std::uint64_t sequence = 0; ///< Grows with each heartbeat of an incarnation.
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string failureDomain;
    std::string version; ///< Of its software.
    std::uint32_t slots = 0;
    bool draining = false; ///< It serves on for a while but is to get nothing more.
    Duration coldRemaining{}; ///< Zero once it is warm.
    std::vector<HeldKeys> holds;
    std::vector<ReleasedKeys> released;
};

/// Keys that the backend server is to hold, in answer to a heartbeat. It releases all others.
struct HeartbeatAnswer
{
    std::vector<KeyRow> rows;
    Duration holdTime{}; ///< Counts at the backend server from the sending of the heartbeat.
};

} // namespace Toucandeck
