#include "fleet/key_loads.h"

#include "common/assert.h"
#include "fleet/key_rows.h"

#include <algorithm>
#include <numeric>

namespace Toucandeck
{

namespace
{

constexpr double kBaseWeight = 1; ///< Weight of all keys without demand, in requests per second; far below any relevant demand.
/// A range that would raise a holder above this multiple of the mean utilisation is divided.
constexpr double kMaxRatioToMean = 1.2;
constexpr std::size_t kMaxPartsPerRange = 8; ///< Bounds the rows of the key table; each part is one row.

} // namespace

KeyLoads::KeyLoads(std::vector<DemandPoint> demand, std::vector<double> capacities)
    : m_demand(std::move(demand))
    , m_capacities(std::move(capacities))
    , m_loads(m_capacities.size(), 0)
{
    TOUCANDECK_ASSERT(!m_capacities.empty(), "key loads need at least one holder");
    std::sort(m_demand.begin(), m_demand.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    double sum = 0;
    for (auto &it : m_demand) {
        sum += it.rate;
        it.rate = sum;
    }
}

double KeyLoads::demandBelow(std::uint32_t key) const
{
    const auto it = std::lower_bound(m_demand.begin(), m_demand.end(), key, [](const auto &point, auto k) { return point.key < k; });
    return it == m_demand.begin() ? 0 : std::prev(it)->rate;
}

double KeyLoads::weight(KeyRange range) const
{
    return demandBelow(range.to + 1) - demandBelow(range.from) + kBaseWeight * range.size() / kKeyCount;
}

void KeyLoads::assign(KeyRange range, std::size_t holder)
{
    m_loads[holder] += weight(range);
}

void KeyLoads::unassign(KeyRange range, std::size_t holder)
{
    m_loads[holder] -= weight(range);
}

std::size_t KeyLoads::holderCount() const
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

std::vector<PlannedRange> KeyLoads::distribute(KeyRange range)
{
    const double all = weight(range);
    const double capacity = std::accumulate(m_capacities.begin(), m_capacities.end(), 0.0);
    const double mean = meanUtilisation() + all / capacity;
    std::vector<PlannedRange> parts;
    KeyRange rest = range;
    while (true) {
        const auto holder = leastLoaded();
        const double room = mean * kMaxRatioToMean * m_capacities[holder] - m_loads[holder];
        const bool last = parts.size() + 1 == kMaxPartsPerRange || weight(rest) <= room;
        const auto part = last ? rest : slice(rest, std::max(room, all / kMaxPartsPerRange), false);
        assign(part, holder);
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
