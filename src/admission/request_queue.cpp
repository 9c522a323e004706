#include "admission/request_queue.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

unsigned slotDepth(const Offer &offer)
{
    return offer.statusCheck ? kMaxDepth : offer.depth;
}

} // namespace

RequestQueue::RequestQueue(std::size_t perClass)
    : m_perClass(perClass)
{
}

bool RequestQueue::push(const Offer &offer, TimePoint now)
{
    const std::size_t which = offer.nested ? 1 : 0;
    if (m_sizes[which] >= m_perClass) {
        return false;
    }
    const bool isNew = m_ids.insert(offer.id).second;
    TOUCANDECK_ASSERT(isNew, "a request waits once");
    m_classes[which][slotDepth(offer)].push_back({ offer, now });
    ++m_sizes[which];
    return true;
}

std::optional<Offer> RequestQueue::pop(const std::function<bool(unsigned)> &mayStart)
{
    const auto first = 1 - m_lastServed;
    for (const auto which : { first, m_lastServed }) {
        if (auto it = popClass(which, mayStart)) {
            m_lastServed = which;
            return it;
        }
    }
    return std::nullopt;
}

std::optional<Offer> RequestQueue::popClass(std::size_t which, const std::function<bool(unsigned)> &mayStart)
{
    for (unsigned depth = kMaxDepth + 1; depth-- > 0;) {
        auto &waiting = m_classes[which][depth];
        if (waiting.empty() || !mayStart(depth)) {
            continue;
        }
        const auto offer = waiting.front().offer;
        waiting.pop_front();
        --m_sizes[which];
        m_ids.erase(offer.id);
        return offer;
    }
    return std::nullopt;
}

void RequestQueue::countStart(bool nested)
{
    m_lastServed = nested ? 1 : 0;
}

std::vector<QueuedOffer> RequestQueue::removeIf(const std::function<bool(const QueuedOffer &)> &unwanted)
{
    std::vector<QueuedOffer> removed;
    for (std::size_t which = 0; which < m_classes.size(); ++which) {
        for (auto &waiting : m_classes[which]) {
            const auto rest = std::stable_partition(waiting.begin(), waiting.end(), [&unwanted](const auto &it) { return !unwanted(it); });
            m_sizes[which] -= static_cast<std::size_t>(waiting.end() - rest);
            removed.insert(removed.end(), rest, waiting.end());
            waiting.erase(rest, waiting.end());
        }
    }
    for (const auto &it : removed) {
        m_ids.erase(it.offer.id);
    }
    return removed;
}

bool RequestQueue::remove(std::uint64_t id)
{
    return contains(id) && !removeIf([id](const QueuedOffer &it) { return it.offer.id == id; }).empty();
}

bool RequestQueue::contains(std::uint64_t id) const
{
    return m_ids.contains(id);
}

std::optional<unsigned> RequestQueue::deepest() const
{
    for (unsigned depth = kMaxDepth + 1; depth-- > 0;) {
        if (!m_classes[0][depth].empty() || !m_classes[1][depth].empty()) {
            return depth;
        }
    }
    return std::nullopt;
}

std::size_t RequestQueue::size() const
{
    return m_sizes[0] + m_sizes[1];
}

std::size_t RequestQueue::size(bool nested) const
{
    return m_sizes[nested ? 1 : 0];
}

void RequestQueue::forEach(const std::function<void(const QueuedOffer &)> &visit) const
{
    for (const auto &depths : m_classes) {
        for (const auto &waiting : depths) {
            std::for_each(waiting.begin(), waiting.end(), visit);
        }
    }
}

} // namespace Toucandeck
