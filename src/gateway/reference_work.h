#pragma once

#include "gateway/call.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Toucandeck
{

/// Usual work of each kind of call of each service, over all backend servers that answer this gateway. The work of a call is the time for
/// which its backend server worked on it at the usual speed of the machine, without the time in which nested calls were pending.
class ReferenceWork
{
public:
    /// Records the work of an answered call.
    void record(const Call &call, Duration work, TimePoint now);

    /// Usual work of calls of this service and kind; none until enough of them were answered.
    std::optional<Duration> usual(const Call &call) const;

    /// Forgets the services for which @p isKnown is false.
    void retain(const std::function<bool(const std::string &service)> &isKnown);
    std::size_t size() const;

private:
    /// Sums over the answered calls, the older ones with less weight.
    struct Sums
    {
        double workSeconds = 0;
        double calls = 0;
        TimePoint recordedAt;
    };

    std::map<std::pair<std::string, std::uint32_t>, Sums> m_sums; ///< By service and kind of call.
};

} // namespace Toucandeck
