#pragma once

#include "admission/admission_types.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

namespace Toucandeck
{

/// A queued request and the time at which it was queued.
struct QueuedRequest
{
    AdmissionRequest request;
    TimePoint enqueueTime;
};

/// Bounded queue with two classes, callers' requests and service-to-service requests, which are served in turn. Within a class the
/// depths are served in turn from the deepest to the shallowest, because shallower calls wait for deeper ones but must not starve behind
/// them; within a depth the order is first in, first out.
class RequestQueue
{
public:
    /// @param maxPerClass is the maximum number of queued requests of a class.
    explicit RequestQueue(std::size_t maxPerClass);

    /// False if the class is full. The id must not be in the queue.
    bool push(const AdmissionRequest &request, TimePoint now);

    /// Removes and returns the next request for which @p mayStart(depth) holds.
    std::optional<AdmissionRequest> pop(const std::function<bool(unsigned)> &mayStart);

    /// Records a start that bypassed the queue, so that the classes continue to be served in turn.
    void recordDirectStart(bool nested);

    /// Removes and returns all requests for which @p unwanted holds.
    std::vector<QueuedRequest> removeIf(const std::function<bool(const QueuedRequest &)> &unwanted);

    /// Removes one request; false if it is not in the queue.
    bool remove(std::uint64_t id);
    bool contains(std::uint64_t id) const;

    /// Depth of the deepest queued request; nothing if the queue is empty.
    std::optional<unsigned> maxQueuedDepth() const;

    std::size_t size() const;
    std::size_t size(bool nested) const;
    void forEach(const std::function<void(const QueuedRequest &)> &visit) const;

private:
    using Depths = std::array<std::deque<QueuedRequest>, kMaxDepth + 1>;

    std::optional<AdmissionRequest> popFromClass(std::size_t classIndex, const std::function<bool(unsigned)> &mayStart);

    std::size_t m_maxPerClass;
    std::array<Depths, 2> m_classes; ///< Callers' requests, service-to-service requests.
    std::array<std::size_t, 2> m_sizes{};
    std::size_t m_lastServedClass = 1;
    std::array<unsigned, 2> m_lastServedDepths{}; ///< By class.
    std::unordered_set<std::uint64_t> m_ids;
};

} // namespace Toucandeck
