#include "log/logger.h"

#include <algorithm>
#include <fmt/chrono.h>

namespace Toucandeck
{

namespace
{

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

std::string quoted(std::string_view value)
{
    std::string buf = "\"";
    for (const char it : value) {
        if (it == '\n') {
            buf += "\\n";
            continue;
        }
        if (it == '\r') {
            buf += "\\r";
            continue;
        }
        if (it == '"' || it == '\\') {
            buf += '\\';
        }
        buf += it;
    }
    return buf + '"';
}

} // namespace

const char *toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

std::string formatLogLine(WallTime time, std::string_view process, const Event &event, std::initializer_list<LogField> fields)
{
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(time);
    const auto millis = (time - seconds).count();
    const auto utc = fmt::gmtime(std::chrono::system_clock::to_time_t(seconds));
    auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}", utc, millis, toString(event.level), event.number, event.name);
    line += fmt::format(" process={}", process);
    for (const auto &it : fields) {
        line += fmt::format(" {}={}", it.name, needsQuotes(it.value) ? quoted(it.value) : it.value);
    }
    return line;
}

StderrLogger::StderrLogger(const Clock &clock, std::string process, LogLevel lowest)
    : m_clock(clock)
    , m_process(std::move(process))
    , m_lowest(lowest)
{
}

void StderrLogger::write(const Event &event, std::initializer_list<LogField> fields)
{
    if (event.level < m_lowest) {
        return;
    }
    fmt::print(stderr, "{}\n", formatLogLine(m_clock.wallNow(), m_process, event, fields));
}

void StderrLogger::setLowestLevel(LogLevel lowest)
{
    m_lowest = lowest;
}

void NullLogger::write(const Event & /*event*/, std::initializer_list<LogField> /*fields*/)
{
}

void RecordingLogger::write(const Event &event, std::initializer_list<LogField> fields)
{
    m_entries.push_back({ event.number, event.name, fields });
}

const std::vector<RecordingLogger::Entry> &RecordingLogger::entries() const
{
    return m_entries;
}

int RecordingLogger::count(const Event &event) const
{
    const auto sameNumber = [&event](const Entry &it) { return it.number == event.number; };
    return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), sameNumber));
}

} // namespace Toucandeck
