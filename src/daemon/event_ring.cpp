#include "daemon/event_ring.h"

namespace Toucandeck
{

namespace
{

constexpr std::size_t kMaxLines = 200;

} // namespace

EventRing::EventRing(Logger &nextLogger, const Clock &clock, std::string process)
    : m_nextLogger(nextLogger)
    , m_clock(clock)
    , m_process(std::move(process))
{
}

void EventRing::write(const Event &event, std::initializer_list<LogField> fields)
{
    m_lines.push_back(formatLogLine(m_clock.wallNow(), m_process, event, fields));
    if (m_lines.size() > kMaxLines) {
        m_lines.pop_front();
    }
    m_nextLogger.write(event, fields);
}

const std::deque<std::string> &EventRing::lines() const
{
    return m_lines;
}

} // namespace Toucandeck
