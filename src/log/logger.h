#pragma once

#include "log/event.h"

#include "common/clock.h"

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck
{

/// One key=value pair of a log line.
struct LogField
{
    std::string name;
    std::string value;
};

/// Makes a field of any value that fmt can print.
template<class T>
LogField field(std::string_view name, const T &value)
{
    return { std::string(name), fmt::format("{}", value) };
}

/// Receives events. Decision logic takes it as an interface.
class Logger
{
public:
    virtual ~Logger() = default;
    virtual void write(const Event &event, std::initializer_list<LogField> fields) = 0;
};

/// Writes a line per event to standard error: time, level, number, name, key=value fields.
class StderrLogger : public Logger
{
public:
    /// @param process is written on each line as process=...; @param lowest is the lowest level written.
    StderrLogger(const Clock &clock, std::string process, LogLevel lowest);
    void write(const Event &event, std::initializer_list<LogField> fields) override;
    void setLowestLevel(LogLevel lowest);

private:
    const Clock &m_clock;
    std::string m_process;
    LogLevel m_lowest;
};

/// Discards every event.
class NullLogger : public Logger
{
public:
    void write(const Event &event, std::initializer_list<LogField> fields) override;
};

/// Records events for tests.
class RecordingLogger : public Logger
{
public:
    struct Entry
    {
        int number = 0;
        std::string name;
        std::vector<LogField> fields;
    };

    void write(const Event &event, std::initializer_list<LogField> fields) override;
    const std::vector<Entry> &entries() const;

    /// Number of events of this kind.
    int count(const Event &event) const;

private:
    std::vector<Entry> m_entries;
};

/// Formats the line that StderrLogger writes, without the line end.
std::string formatLogLine(WallTime time, std::string_view process, const Event &event, std::initializer_list<LogField> fields);

} // namespace Toucandeck
