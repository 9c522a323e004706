#pragma once

#include "gateway/call.h"

#include "common/clock.h"

#include <map>
#include <string>

namespace Toucandeck
{

/// What this gateway knows of the load at another gateway's backend server.
struct KnownLoad
{
    wire::LoadReport report; ///< As of the latest answer.
    TimePoint reportedAt;
    std::uint32_t inFlight = 0; ///< Calls sent there and not answered.
    std::uint32_t sentSince = 0; ///< Calls sent there since the report.
    TimePoint suspectUntil; ///< After a failure of the connection.
    int failures = 0; ///< Of the connection, in a row.
};

/// Load at the other gateways, from the reports on their answers and from own calls.
class LoadBoard
{
public:
    explicit LoadBoard(const Clock &clock);

    void sent(const std::string &ip);
    void answered(const std::string &ip, const CallResult &result);
    /// The call ended here before its answer.
    void cancelled(const std::string &ip);

    const KnownLoad &at(const std::string &ip) const;
    bool isSuspect(const std::string &ip) const;
    bool isFresh(const KnownLoad &load) const;

private:
    const Clock &m_clock;
    std::map<std::string, KnownLoad> m_loads;
};

} // namespace Toucandeck
