#pragma once

#include "gateway/call.h"

#include <map>
#include <optional>

namespace Toucandeck
{

/// Kind of a call, by rank and nesting: calls of one kind take about the same work.
std::uint32_t kindOf(const Call &call);

/// Service times of the calls at one backend server, by rank and nesting.
class ServiceTimes
{
public:
    void record(const Call &call, Duration serviceTime);

    /// Expected service time of this call. Until a call of its kind is recorded, @p reference if there is one, then the mean, then an
    /// initial estimate.
    Duration expected(const Call &call, std::optional<Duration> reference = std::nullopt) const;

    /// Mean over all calls; zero if none was recorded.
    Duration mean() const;

    /// Handles a new incarnation: its service times by kind are not those of the former one. The mean is kept until it has its own.
    void onIncarnationStarted();

private:
    std::map<std::uint32_t, Duration> m_byKind;
    Duration m_mean{};
};

} // namespace Toucandeck
