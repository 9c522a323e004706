#include "simulator.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck::Model
{

Simulator::Simulator(std::uint64_t seed)
    : random(seed)
{
}

void Simulator::after(Duration delay, std::function<void()> action)
{
    m_entries.push({ clock.now() + std::max(delay, Duration::zero()), ++m_order, std::move(action) });
}

void Simulator::runUntil(TimePoint end)
{
    while (!m_entries.empty() && m_entries.top().time <= end) {
        auto action = std::move(const_cast<Entry &>(m_entries.top()).action);
        clock.advance(m_entries.top().time - clock.now());
        m_entries.pop();
        ++steps;
        action();
    }
    clock.advance(end - clock.now());
}

TimePoint Simulator::now() const
{
    return clock.now();
}

bool Simulator::chance(double probability)
{
    return random.unit() < probability;
}

Duration Simulator::between(Duration from, Duration to)
{
    return from + Duration(static_cast<std::int64_t>(random.unit() * static_cast<double>((to - from).count())));
}

Duration Simulator::exponential(Duration mean)
{
    const auto factor = std::min(-std::log(1 - random.unit()), 4.0);
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(mean.count())));
}

} // namespace Toucandeck::Model
