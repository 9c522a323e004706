#pragma once

#include "log/logger.h"

#include <deque>
#include <string>

namespace Toucandeck
{

/// Logger that passes events on and keeps the last ones for `toucandeck events`.
class EventRing : public Logger
{
public:
    /// Both references must outlive the ring.
    EventRing(Logger &next, const Clock &clock, std::string process);

    void write(const Event &event, std::initializer_list<LogField> fields) override;

    /// Log lines, oldest first.
    const std::deque<std::string> &lines() const;

private:
    Logger &m_next;
    const Clock &m_clock;
    std::string m_process;
    std::deque<std::string> m_lines;
};

} // namespace Toucandeck
