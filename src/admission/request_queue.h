#pragma once

#include "admission/offer.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

namespace Toucandeck
{

/// A waiting request.
struct QueuedOffer
{
    Offer offer;
    TimePoint since;
};

/// Bounded queue with two classes, callers' and service-to-service work, which are served in turn. Within a class the
/// deeper call goes first, because a shallower one waits for it; within a depth the order is that of arrival.
class RequestQueue
{
public:
    /// @param perClass is the most requests that wait in a class.
    explicit RequestQueue(std::size_t perClass);

    /// False if the class is full. The id must not be in the queue.
    bool push(const Offer &offer, TimePoint now);

    /// Removes and returns the next request for which @p mayStart(depth) holds.
    std::optional<Offer> pop(const std::function<bool(unsigned)> &mayStart);

    /// Counts a start that bypassed the queue, so that the classes stay even.
    void countStart(bool nested);

    /// Removes and returns all requests for which @p unwanted holds.
    std::vector<QueuedOffer> removeIf(const std::function<bool(const QueuedOffer &)> &unwanted);
    bool remove(std::uint64_t id);
    bool contains(std::uint64_t id) const;

    /// Depth of the deepest request that waits.
    std::optional<unsigned> deepest() const;

    std::size_t size() const;
    std::size_t size(bool nested) const;
    void forEach(const std::function<void(const QueuedOffer &)> &visit) const;

private:
    using Depths = std::array<std::deque<QueuedOffer>, kMaxDepth + 1>;

    std::optional<Offer> popClass(std::size_t which, const std::function<bool(unsigned)> &mayStart);

    std::size_t m_perClass;
    std::array<Depths, 2> m_classes; ///< Callers' work, service-to-service work.
    std::array<std::size_t, 2> m_sizes{};
    std::size_t m_lastServed = 1;
    std::unordered_set<std::uint64_t> m_ids;
};

} // namespace Toucandeck
