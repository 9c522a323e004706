#pragma once

#include "log/logger.h"

#include <deque>
#include <string>

namespace Toucandeck
{

/// Logger that forwards events to another logger and keeps the most recent ones for `toucandeck events`.
class EventRing : public Logger
{
public:
    /// Both references must outlive the ring.
    EventRing(Logger &nextLogger, const Clock &clock, std::string process);

    void write(const Event &event, std::initializer_list<LogField> fields) override;

    /// Log lines, oldest first.
    const std::deque<std::string> &lines() const;

private:
    Logger &m_nextLogger;
    const Clock &m_clock;
    std::string m_process;
    std::deque<std::string> m_lines;
};

} // namespace Toucandeck
