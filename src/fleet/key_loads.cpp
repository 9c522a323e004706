#include "fleet/key_loads.h"

#include "common/assert.h"
#include "fleet/key_rows.h"

#include <algorithm>
#include <numeric>

namespace Toucandeck
{

namespace
{

constexpr double kWeightOfAllKeys = 1; ///< Requests per second; far below any demand that matters.
/// A range that would take a holder this far above the mean utilisation is divided.
constexpr double kSpreadAbove = 1.2;
constexpr std::size_t kMaxParts = 8; ///< Of one range; each part is a row of the table.

} // namespace

KeyLoads::KeyLoads(std::vector<DemandPoint> demand, std::vector<double> capacities)
    : m_demand(std::move(demand))
    , m_capacities(std::move(capacities))
    , m_loads(m_capacities.size(), 0)
{
    TOUCANDECK_ASSERT(!m_capacities.empty(), "keys can only be given to a holder");
    std::sort(m_demand.begin(), m_demand.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    double sum = 0;
    for (auto &it : m_demand) {
        sum += it.rate;
        it.rate = sum;
    }
}

double KeyLoads::pointsBelow(std::uint32_t key) const
{
    const auto it = std::lower_bound(m_demand.begin(), m_demand.end(), key, [](const auto &point, auto k) { return point.key < k; });
    return it == m_demand.begin() ? 0 : std::prev(it)->rate;
}

double KeyLoads::weight(KeyRange range) const
{
    return pointsBelow(range.to + 1) - pointsBelow(range.from) + kWeightOfAllKeys * range.size() / kKeyCount;
}

void KeyLoads::give(KeyRange range, std::size_t holder)
{
    m_loads[holder] += weight(range);
}

void KeyLoads::take(KeyRange range, std::size_t holder)
{
    m_loads[holder] -= weight(range);
}

std::size_t KeyLoads::holders() const
{
    return m_loads.size();
}

double KeyLoads::capacity(std::size_t holder) const
{
    return m_capacities[holder];
}

double KeyLoads::load(std::size_t holder) const
{
    return m_loads[holder];
}

double KeyLoads::utilisation(std::size_t holder) const
{
    return m_loads[holder] / m_capacities[holder];
}

double KeyLoads::meanUtilisation() const
{
    const double load = std::accumulate(m_loads.begin(), m_loads.end(), 0.0);
    return load / std::accumulate(m_capacities.begin(), m_capacities.end(), 0.0);
}

std::size_t KeyLoads::leastLoaded() const
{
    std::size_t best = 0;
    const auto withOneMore = [this](std::size_t i) { return (m_loads[i] + 1) / m_capacities[i]; };
    for (std::size_t i = 1; i < m_loads.size(); ++i) {
        best = withOneMore(i) < withOneMore(best) ? i : best;
    }
    return best;
}

std::vector<PlannedRange> KeyLoads::spread(KeyRange range)
{
    const double all = weight(range);
    const double capacity = std::accumulate(m_capacities.begin(), m_capacities.end(), 0.0);
    const double mean = meanUtilisation() + all / capacity;
    std::vector<PlannedRange> parts;
    KeyRange rest = range;
    while (true) {
        const auto holder = leastLoaded();
        const double room = mean * kSpreadAbove * m_capacities[holder] - m_loads[holder];
        const bool last = parts.size() + 1 == kMaxParts || weight(rest) <= room;
        const auto part = last ? rest : slice(rest, std::max(room, all / kMaxParts), false);
        give(part, holder);
        parts.push_back({ part, holder });
        if (part.to == rest.to) {
            return parts;
        }
        rest.from = part.to + 1;
    }
}

KeyRange KeyLoads::slice(KeyRange range, double weight, bool atEnd) const
{
    const auto part = [&](std::uint32_t n) {
        return atEnd ? KeyRange{ range.to - (n - 1), range.to } : KeyRange{ range.from, range.from + (n - 1) };
    };
    std::uint32_t least = 1;
    std::uint32_t most = range.size();
    while (least < most) {
        const auto middle = least + (most - least + 1) / 2;
        if (this->weight(part(middle)) <= weight) {
            least = middle;
        } else {
            most = middle - 1;
        }
    }
    return part(least);
}

} // namespace Toucandeck
