#pragma once

#include <cstdint>

namespace Toucandeck
{

/// Severity of an event.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning, ///< Needs attention if it persists.
    Error, ///< Requires action by an operator.
};

/// Text of the level as it appears in a log line.
const char *toString(LogLevel level);

/// A kind of log line. Each module declares its own in events.h; docs/events.md lists all.
struct Event
{
    int number; ///< Unique; the thousands digit names the module.
    LogLevel level;
    const char *name; ///< Unique, lower case with underscores.
    const char *meaning; ///< One-sentence description for the event catalogue.
};

} // namespace Toucandeck
