#pragma once

#include "common/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Toucandeck
{

/// Concurrency limits, by kind, of the requests at one backend server that make nested calls. The limit of a kind falls while nested calls
/// of its requests are refused for lack of capacity or miss their deadline, and rises while they are served. Requests above it are refused
/// before they start, since the work on them would be lost. No limit is in force until a nested call was refused, nor once the limit
/// has reached the number of slots again.
class NestedCallGate
{
public:
    explicit NestedCallGate(const Clock &clock);

    /// Counts a request that arrives.
    /// @return false if the limit of its kind is reached; the request is not counted then.
    bool tryEnter(const std::string &kind);
    /// Counts the end of a request that had entered. @p took is zero if it was not answered.
    void leave(const std::string &kind, Duration took);

    /// Handles the failure of a nested call for lack of capacity. @p slots is the number of slots of the backend server on this VM.
    /// @return true if the limit fell.
    bool onCallRefused(const std::string &kind, std::uint32_t slots);
    /// Handles the answer to a nested call.
    void onCallServed(const std::string &kind, std::uint32_t slots);

    /// None if no limit is in force.
    std::optional<double> limit(const std::string &kind) const;
    /// The lowest limit in force; none if there is none.
    std::optional<double> lowestLimit() const;
    /// Time after which a refused request of this kind is expected to enter.
    Duration retryAfter(const std::string &kind) const;
    std::uint64_t refusedRequests() const;

    /// Forgets the kinds for which @p isKnown is false, unless requests of them are pending.
    void retain(const std::function<bool(const std::string &kind)> &isKnown);
    std::size_t size() const;

private:
    struct Kind
    {
        std::uint32_t pending = 0; ///< Requests that have entered and not left.
        Duration meanTime{}; ///< From entering to leaving.
        std::optional<double> limit;
        TimePoint changedAt; ///< When the limit was changed.
        TimePoint loweredAt;
    };

    const Clock &m_clock;
    std::map<std::string, Kind> m_kinds;
    std::uint64_t m_refusedRequests = 0;
};

} // namespace Toucandeck
