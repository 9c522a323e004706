#pragma once

#include "gateway/call.h"

#include <map>

namespace Toucandeck
{

/// How long calls occupy a slot of one backend server, by rank.
class WorkTimes
{
public:
    void record(const Call &call, Duration work);

    /// Expected for this call; a guess for the first calls.
    Duration expected(const Call &call) const;

    /// Over all calls; zero if none was recorded.
    Duration mean() const;

private:
    static std::uint32_t classOf(const Call &call);

    std::map<std::uint32_t, Duration> m_byClass;
    Duration m_mean{};
};

} // namespace Toucandeck
