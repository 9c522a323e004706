#include "gateway/offered_work.h"

#include <cmath>

namespace Toucandeck
{

namespace
{

/// A shorter average follows the chance in the arrivals, a longer one lags behind waves of demand of some seconds.
constexpr std::chrono::duration<double> kTimeConstant{ 1 };

} // namespace

void OfferedWork::Average::add(Duration work, TimePoint now)
{
    seconds = slots(now) * kTimeConstant.count() + std::chrono::duration<double>(work).count();
    updatedAt = now;
}

double OfferedWork::Average::slots(TimePoint now) const
{
    const std::chrono::duration<double> age = now - updatedAt;
    return seconds == 0 ? 0 : seconds * std::exp(-age / kTimeConstant) / kTimeConstant.count();
}

void OfferedWork::recordClient(std::uint32_t rank, Duration work, TimePoint now)
{
    m_clients[rank].add(work, now);
}

void OfferedWork::recordNested(Duration work, TimePoint now)
{
    m_nested.add(work, now);
}

double OfferedWork::clientSlotsBefore(std::uint32_t rank, TimePoint now) const
{
    double sum = 0;
    for (auto it = m_clients.begin(); it != m_clients.end() && it->first < rank; ++it) {
        sum += it->second.slots(now);
    }
    return sum;
}

double OfferedWork::nestedSlots(TimePoint now) const
{
    return m_nested.slots(now);
}

std::uint32_t OfferedWork::middleRank(TimePoint now) const
{
    double all = 0;
    for (const auto &[rank, it] : m_clients) {
        all += it.slots(now);
    }
    double sum = 0;
    for (const auto &[rank, it] : m_clients) {
        sum += it.slots(now);
        if (sum > 0 && sum >= all / 2) {
            return rank;
        }
    }
    return 0;
}

} // namespace Toucandeck
