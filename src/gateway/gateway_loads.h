#pragma once

#include "gateway/call.h"

#include "common/clock.h"

#include <map>
#include <string>

namespace Toucandeck
{

/// Known load of a gateway's backend server.
struct GatewayLoad
{
    wire::LoadReport report; ///< From the latest answer.
    TimePoint reportedAt;
    std::uint32_t inFlight = 0; ///< Calls from this gateway without an answer.
    std::uint32_t sentSinceReport = 0; ///< Calls from this gateway since the report.
    TimePoint suspectUntil; ///< End of the penalty for a failed connection or a leaving gateway.
    int failures = 0; ///< Consecutive connection failures.
};

/// Load of the gateways' backend servers, from the reports in answers and from the calls that this gateway sent.
class GatewayLoads
{
public:
    explicit GatewayLoads(const Clock &clock);

    void onCallSent(const std::string &ip);
    void onCallAnswered(const std::string &ip, const CallResult &result);
    /// Handles a gateway that sends nothing although a call there is pending.
    void onSilence(const std::string &ip);
    /// Handles a call that was cancelled before its answer.
    void onCallCancelled(const std::string &ip);

    const GatewayLoad &at(const std::string &ip) const;
    /// True if the connection to the gateway failed or the gateway refused a call as it was leaving, recently.
    bool isSuspect(const std::string &ip) const;
    /// True if the report is recent enough to be used.
    bool isFresh(const GatewayLoad &load) const;

private:
    /// Counts one failure, although each call that was pending on the connection reports it.
    void onConnectionLost(GatewayLoad &load) const;
    void markUnreachable(GatewayLoad &load) const;

    const Clock &m_clock;
    std::map<std::string, GatewayLoad> m_loads;
};

} // namespace Toucandeck
