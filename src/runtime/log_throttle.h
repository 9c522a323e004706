#pragma once

#include "common/clock.h"
#include "log/logger.h"

#include <cstdint>

namespace Toucandeck::internal
{

/// Writes a kind of event at most once per second, with the number of occurrences since the last line. Keeps a peer that sends
/// garbage from filling the log.
class LogThrottle
{
public:
    LogThrottle(const Clock &clock, Logger &logger, const Event &event)
        : m_clock(clock)
        , m_logger(logger)
        , m_event(event)
    {
    }

    void write(std::string_view name, std::string_view value)
    {
        ++m_count;
        const auto now = m_clock.now();
        if (m_written && now - m_last < std::chrono::seconds(1)) {
            return;
        }
        m_logger.write(m_event, { field(name, value), field("count", m_count) });
        m_written = true;
        m_last = now;
        m_count = 0;
    }

private:
    const Clock &m_clock;
    Logger &m_logger;
    const Event &m_event;
    bool m_written = false;
    TimePoint m_last;
    std::uint64_t m_count = 0;
};

} // namespace Toucandeck::internal
