#pragma once

#include "common/time.h"
#include "fleet/key_rows.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Interval of a backend server's heartbeats if the settings name none.
inline constexpr std::chrono::milliseconds kDefaultHeartbeatInterval{ 870 };

/// Keys that a backend server reports as held or still in use.
struct HeldKeys
{
    KeyRange range;
    std::uint64_t fencingToken = 0;
};

/// Keys that a backend server has released since its last acknowledged heartbeat.
struct ReleasedKeys
{
    KeyRange range;
    std::string handover; ///< Token for the next holder.
};

/// State of a backend server, which it sends about once in each heartbeat interval.
struct Heartbeat
{
    std::string instance; ///< Id of the backend server; another process may use it later.
    std::int64_t startUnixMs = 0; ///< Start of the process, in milliseconds since the Unix epoch; distinguishes incarnations.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation.
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string failureDomain;
    std::string version; ///< Software version.
    std::uint32_t slots = 0;
    bool draining = false; ///< It completes its work but must receive no new calls.
    Duration coldRemaining{}; ///< Rest of the cold period; zero if warm.
    std::vector<HeldKeys> holds;
    std::vector<ReleasedKeys> released;
    bool listsKeys = true; ///< It says which keys are held and released; both lists may be empty.
};

/// Notice of a backend server that it stops.
struct DepartureNotice
{
    std::string instance; ///< Id of the backend server.
    /// Start of its process; if it is not known, the notice is for the current process with this id, or for all that started before now.
    std::optional<std::int64_t> startUnixMs;
    std::optional<std::string> service; ///< If the notice names it.
    std::optional<std::string> address; ///< "IP:PORT", if the notice names it.
};

/// Answer to a heartbeat: the keys that the backend server is to hold. It releases all others.
struct HeartbeatAnswer
{
    std::vector<KeyRow> rows;
    Duration holdTime{}; ///< Validity of the rows, counted at the backend server from the sending of the heartbeat.
};

} // namespace Toucandeck
