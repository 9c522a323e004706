#pragma once

#include "log/logger.h"

#include <map>
#include <string>

namespace Toucandeck
{

/// Writes a JSON object per event to a file descriptor. Never blocks: lines are kept in a bounded buffer until flush() writes them, and
/// a line that does not fit is dropped and counted. The number of lines per second is limited for each kind of event; the next line of
/// that kind carries the number of omitted lines as "suppressed". If none follows within the second, a line without fields carries it.
class JsonLogger : public Logger
{
public:
    /// @param descriptor is set to non-blocking mode; @param process is written in each line.
    JsonLogger(const Clock &clock, int descriptor, std::string process, LogLevel lowest);
    ~JsonLogger() override;

    void write(const Event &event, std::initializer_list<LogField> fields) override;

    /// Writes the buffered lines to the descriptor; call it at the end of each iteration of the event loop.
    void flush();

    void setLowestLevel(LogLevel lowest);

    /// Number of lines dropped because the buffer was full.
    std::uint64_t droppedLines() const;

private:
    struct Window
    {
        Event event;
        TimePoint start;
        int lines = 0;
        std::uint64_t suppressed = 0;
    };

    bool admit(const Event &event, std::uint64_t &suppressed);
    bool append(std::string line, std::uint64_t suppressed);
    /// Reports the lines omitted in windows that ended by @p now.
    void reportSuppressed(TimePoint now);
    void writeBuffer();

    const Clock &m_clock;
    int m_descriptor;
    std::string m_process;
    LogLevel m_lowest;
    std::map<int, Window> m_windows; ///< By event number.
    bool m_hasSuppressed = false; ///< A window may have suppressed lines.
    std::string m_buf;
    std::uint64_t m_droppedLines = 0;
};

/// Formats the line that JsonLogger writes, without the line end.
std::string formatJsonLine(WallTime time, std::string_view process, const Event &event, std::initializer_list<LogField> fields);

} // namespace Toucandeck
