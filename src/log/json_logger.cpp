#include "log/json_logger.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
constexpr int kLinesPerSecond = 100; ///< Limit for each kind of event.
constexpr std::chrono::seconds kWindow{ 1 };
constexpr std::size_t kLinePrefixBytes = 96; ///< Expected size of a line without its fields.

void appendEscaped(std::string &buf, std::string_view text)
{
    for (const char it : text) {
        if (it == '"' || it == '\\') {
            buf += '\\';
            buf += it;
        } else if (static_cast<unsigned char>(it) < 0x20) {
            buf += fmt::format("\\u{:04x}", static_cast<unsigned char>(it));
        } else {
            buf += it;
        }
    }
}

void appendField(std::string &buf, std::string_view name, std::string_view value)
{
    buf += ",\"";
    buf += name;
    buf += "\":\"";
    appendEscaped(buf, value);
    buf += '"';
}

} // namespace

std::string formatJsonLine(WallTime time, std::string_view process, const Event &event, std::initializer_list<LogField> fields)
{
    std::string buf;
    buf.reserve(kLinePrefixBytes + 32 * fields.size());
    buf += fmt::format("{{\"time_ms\":{},\"level\":\"{}\",\"number\":{},\"event\":\"{}\"",
                       time.time_since_epoch().count(),
                       toString(event.level),
                       event.number,
                       event.name);
    appendField(buf, "process", process);
    for (const auto &it : fields) {
        appendField(buf, it.name, it.value);
    }
    buf += '}';
    return buf;
}

JsonLogger::JsonLogger(const Clock &clock, int descriptor, std::string process, LogLevel lowest)
    : m_clock(clock)
    , m_descriptor(descriptor)
    , m_process(std::move(process))
    , m_lowest(lowest)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK); // A slow reader must not block the process.
    }
}

JsonLogger::~JsonLogger()
{
    reportSuppressed(TimePoint::max());
    writeBuffer();
}

bool JsonLogger::admit(const Event &event, std::uint64_t &suppressed)
{
    auto &window = m_windows.try_emplace(event.number, Window{ event }).first->second;
    const auto now = m_clock.now();
    if (now - window.start >= kWindow) {
        window.start = now;
        window.lines = 0;
    }
    if (window.lines >= kLinesPerSecond) {
        ++window.suppressed;
        m_hasSuppressed = true;
        return false;
    }
    ++window.lines;
    suppressed = std::exchange(window.suppressed, 0);
    return true;
}

void JsonLogger::write(const Event &event, std::initializer_list<LogField> fields)
{
    std::uint64_t suppressed = 0;
    if (event.level < m_lowest || !admit(event, suppressed)) {
        return;
    }
    append(formatJsonLine(m_clock.wallNow(), m_process, event, fields), suppressed);
}

bool JsonLogger::append(std::string line, std::uint64_t suppressed)
{
    if (suppressed != 0) {
        line.pop_back();
        line += fmt::format(",\"suppressed\":{}}}", suppressed);
    }
    if (m_buf.size() + line.size() >= kMaxBufferedBytes) {
        ++m_droppedLines;
        return false;
    }
    m_buf += line;
    m_buf += '\n';
    return true;
}

void JsonLogger::reportSuppressed(TimePoint now)
{
    if (!std::exchange(m_hasSuppressed, false)) {
        return;
    }
    for (auto &[number, window] : m_windows) {
        if (window.suppressed != 0 && now - window.start >= kWindow) {
            window.start = now;
            window.lines = 1;
            const bool isWritten = append(formatJsonLine(m_clock.wallNow(), m_process, window.event, {}), window.suppressed);
            window.suppressed = isWritten ? 0 : window.suppressed;
        }
        m_hasSuppressed = m_hasSuppressed || window.suppressed != 0;
    }
}

void JsonLogger::flush()
{
    reportSuppressed(m_clock.now());
    writeBuffer();
}

void JsonLogger::writeBuffer()
{
    if (m_buf.empty()) {
        return;
    }
    const auto n = ::write(m_descriptor, m_buf.data(), m_buf.size());
    if (n > 0) {
        m_buf.erase(0, static_cast<std::size_t>(n));
    }
}

void JsonLogger::setLowestLevel(LogLevel lowest)
{
    m_lowest = lowest;
}

std::uint64_t JsonLogger::droppedLines() const
{
    return m_droppedLines;
}

} // namespace Toucandeck
