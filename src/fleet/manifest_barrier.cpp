#include "fleet/manifest_barrier.h"

#include <utility>

namespace Toucandeck
{

ManifestBarrier::ManifestBarrier(const Clock &clock, Duration maxDelay)
    : m_clock(clock)
    , m_maxDelay(maxDelay)
{
}

void ManifestBarrier::setCondition(Condition isApplied)
{
    m_isApplied = std::move(isApplied);
}

void ManifestBarrier::await(std::uint64_t version, Callback confirm)
{
    m_waiting.push_back({ version, m_clock.now() + m_maxDelay, std::move(confirm) });
    process();
}

void ManifestBarrier::process()
{
    const auto now = m_clock.now();
    std::list<Waiting> confirmed;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto next = std::next(it);
        if (now >= it->latest || !m_isApplied || m_isApplied(it->version)) {
            confirmed.splice(confirmed.end(), m_waiting, it);
        }
        it = next;
    }
    for (const auto &it : confirmed) {
        it.confirm();
    }
}

std::size_t ManifestBarrier::waitingCount() const
{
    return m_waiting.size();
}

} // namespace Toucandeck
