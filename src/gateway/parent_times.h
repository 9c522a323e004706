#pragma once

#include "common/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace Toucandeck
{

/// Learns, by kind of request, how long a request usually still runs after the answer to its n-th nested call. A nested call must end
/// that much before the deadline of its request, or the request misses it in spite of the answer.
class ParentTimes
{
public:
    /// Records that a request ended @p remaining after the answer to its nested call number @p index, from 0.
    void record(const std::string &kind, std::size_t index, Duration remaining);

    /// Time to reserve for the request after the answer to its nested call number @p index: the usual time, at most a third of @p left, the
    /// time until the deadline of the request. Zero if nothing is known.
    Duration reserve(const std::string &kind, std::size_t index, Duration left) const;

    /// Forgets the kinds for which @p isKnown is false.
    void retain(const std::function<bool(const std::string &kind)> &isKnown);
    std::size_t size() const;

private:
    std::map<std::pair<std::string, std::size_t>, Duration> m_means;
};

} // namespace Toucandeck
