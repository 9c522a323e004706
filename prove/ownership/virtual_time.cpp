#include "ownership/virtual_time.h"

namespace Toucandeck::OwnershipRun
{

Duration VirtualTime::now() const
{
    return m_now;
}

void VirtualTime::after(Duration delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, m_planned++, std::move(action) });
}

void VirtualTime::every(Duration interval, const std::function<void()> &action)
{
    after(interval, [this, interval, action] {
        action();
        every(interval, action);
    });
}

void VirtualTime::runUntil(Duration end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        ++m_steps;
        event.action();
    }
    m_now = end;
}

std::uint64_t VirtualTime::steps() const
{
    return m_steps;
}

DriftingClock::DriftingClock(const VirtualTime &time, std::int64_t driftPpm, Duration offset, Duration wallSkew)
    : m_time(time)
    , m_driftPpm(driftPpm)
    , m_offset(offset)
    , m_wallSkew(wallSkew)
{
}

TimePoint DriftingClock::now() const
{
    const auto real = m_time.now();
    return TimePoint(m_offset + real + real / 1'000'000 * m_driftPpm);
}

WallTime DriftingClock::wallNow() const
{
    constexpr std::chrono::milliseconds kStart{ 1'700'000'000'000 };
    return WallTime(kStart + std::chrono::duration_cast<std::chrono::milliseconds>(m_time.now() + m_wallSkew));
}

} // namespace Toucandeck::OwnershipRun
