#include "admission/request_queue.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

unsigned slotDepth(const AdmissionRequest &request)
{
    return request.statusCheck ? kMaxDepth : request.depth;
}

} // namespace

RequestQueue::RequestQueue(std::size_t maxPerClass)
    : m_maxPerClass(maxPerClass)
{
}

bool RequestQueue::push(const AdmissionRequest &request, TimePoint now)
{
    const std::size_t classIndex = request.nested ? 1 : 0;
    if (m_sizes[classIndex] >= m_maxPerClass) {
        return false;
    }
    const bool isNew = m_ids.insert(request.id).second;
    TOUCANDECK_ASSERT(isNew, "a request is queued once");
    m_classes[classIndex][slotDepth(request)].push_back({ request, now });
    ++m_sizes[classIndex];
    return true;
}

std::optional<AdmissionRequest> RequestQueue::pop(const std::function<bool(unsigned)> &mayStart)
{
    const auto first = 1 - m_lastServedClass;
    for (const auto classIndex : { first, m_lastServedClass }) {
        if (auto it = popFromClass(classIndex, mayStart)) {
            m_lastServedClass = classIndex;
            return it;
        }
    }
    return std::nullopt;
}

std::optional<AdmissionRequest> RequestQueue::popFromClass(std::size_t classIndex, const std::function<bool(unsigned)> &mayStart)
{
    constexpr unsigned kDepths = kMaxDepth + 1;
    const auto last = m_lastServedDepths[classIndex];
    for (unsigned step = 1; step <= kDepths; ++step) {
        const auto depth = (last + kDepths - step) % kDepths;
        auto &queue = m_classes[classIndex][depth];
        if (queue.empty() || !mayStart(depth)) {
            continue;
        }
        m_lastServedDepths[classIndex] = depth;
        const auto request = queue.front().request;
        queue.pop_front();
        --m_sizes[classIndex];
        m_ids.erase(request.id);
        return request;
    }
    return std::nullopt;
}

void RequestQueue::recordDirectStart(bool nested)
{
    m_lastServedClass = nested ? 1 : 0;
}

std::vector<QueuedRequest> RequestQueue::removeIf(const std::function<bool(const QueuedRequest &)> &unwanted)
{
    std::vector<QueuedRequest> removed;
    for (std::size_t classIndex = 0; classIndex < m_classes.size(); ++classIndex) {
        for (auto &queue : m_classes[classIndex]) {
            const auto rest = std::stable_partition(queue.begin(), queue.end(), [&unwanted](const auto &it) { return !unwanted(it); });
            m_sizes[classIndex] -= static_cast<std::size_t>(queue.end() - rest);
            removed.insert(removed.end(), rest, queue.end());
            queue.erase(rest, queue.end());
        }
    }
    for (const auto &it : removed) {
        m_ids.erase(it.request.id);
    }
    return removed;
}

bool RequestQueue::remove(std::uint64_t id)
{
    return contains(id) && !removeIf([id](const QueuedRequest &it) { return it.request.id == id; }).empty();
}

bool RequestQueue::contains(std::uint64_t id) const
{
    return m_ids.contains(id);
}

std::optional<unsigned> RequestQueue::maxQueuedDepth() const
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

void RequestQueue::forEach(const std::function<void(const QueuedRequest &)> &visit) const
{
    for (const auto &depths : m_classes) {
        for (const auto &queue : depths) {
            std::for_each(queue.begin(), queue.end(), visit);
        }
    }
}

} // namespace Toucandeck
