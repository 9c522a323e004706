#pragma once

#include "admission/offer.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_set>

namespace Toucandeck
{

/// Bounded queue with two classes, callers' and service-to-service work, which are served in turn. Within a class the
/// deeper call goes first, because a shallower one waits for it; within a depth the order is that of arrival.
class RequestQueue
{
public:
    explicit RequestQueue(std::size_t perClass);

    /// False if the class is full.
    bool push(const Offer &offer);

    /// Removes and returns the next request for which @p mayStart(depth) holds.
    std::optional<Offer> pop(const std::function<bool(unsigned)> &mayStart);

    /// Counts a start that bypassed the queue, so that the classes stay even.
    void countStart(bool nested);

    /// Removes all requests for which @p unwanted holds, in order of arrival per depth.
    std::vector<Offer> removeIf(const std::function<bool(const Offer &)> &unwanted);
    bool remove(std::uint64_t id);
    bool contains(std::uint64_t id) const;

    /// Whether a request that @p other could overtake waits: one of the same class that is as deep or deeper.
    bool hasAhead(const Offer &other) const;

    std::size_t size() const;
    std::size_t size(bool nested) const;
    void forEach(const std::function<void(const Offer &)> &visit) const;

private:
    using Depths = std::array<std::deque<Offer>, kMaxDepth + 1>;

    std::optional<Offer> popClass(std::size_t which, const std::function<bool(unsigned)> &mayStart);

    std::size_t m_perClass;
    std::array<Depths, 2> m_classes; ///< Callers' work, service-to-service work.
    std::array<std::size_t, 2> m_sizes{};
    std::size_t m_lastServed = 1;
    std::unordered_set<std::uint64_t> m_ids;
};

} // namespace Toucandeck
