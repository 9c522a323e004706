#pragma once

#include "common/clock.h"
#include "log/logger.h"

#include <cstdint>

namespace Toucandeck::internal
{

/// Logs an event at most once per second, with the number of occurrences since the last line. Prevents a peer that sends invalid
/// data from flooding the log.
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
        if (m_hasWritten && now - m_lastWrite < std::chrono::seconds(1)) {
            return;
        }
        m_logger.write(m_event, { field(name, value), field("count", m_count) });
        m_hasWritten = true;
        m_lastWrite = now;
        m_count = 0;
    }

private:
    const Clock &m_clock;
    Logger &m_logger;
    const Event &m_event;
    bool m_hasWritten = false;
    TimePoint m_lastWrite;
    std::uint64_t m_count = 0;
};

} // namespace Toucandeck::internal
