#pragma once

#include "gateway/call.h"

#include <map>

namespace Toucandeck
{

/// Service times of the calls at one backend server, by rank and nesting.
class ServiceTimes
{
public:
    void record(const Call &call, Duration serviceTime);

    /// Expected service time of this call; an initial estimate until a call is recorded.
    Duration expected(const Call &call) const;

    /// Mean over all calls; zero if none was recorded.
    Duration mean() const;

private:
    static std::uint32_t classOf(const Call &call);

    std::map<std::uint32_t, Duration> m_byClass;
    Duration m_mean{};
};

} // namespace Toucandeck
