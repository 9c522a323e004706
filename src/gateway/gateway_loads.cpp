#include "gateway/gateway_loads.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kInitialSuspicion{ 300 }; ///< After the first connection failure, doubled with each further one; after LEAVING.
constexpr milliseconds kMaxSuspicion{ 2400 };
constexpr milliseconds kReportAge{ 400 }; ///< An older report says little about the current load.

} // namespace

GatewayLoads::GatewayLoads(const Clock &clock)
    : m_clock(clock)
{
}

void GatewayLoads::onCallSent(const std::string &ip)
{
    auto &load = m_loads[ip];
    ++load.inFlight;
    ++load.sentSinceReport;
}

void GatewayLoads::onCallCancelled(const std::string &ip)
{
    auto &load = m_loads[ip];
    load.inFlight -= std::min(load.inFlight, 1U);
}

void GatewayLoads::onCallAnswered(const std::string &ip, const CallResult &result)
{
    onCallCancelled(ip);
    auto &load = m_loads[ip];
    const auto now = m_clock.now();
    if (result.reason == wire::LEAVING) {
        load.suspectUntil = std::max(load.suspectUntil, now + kInitialSuspicion);
        return;
    }
    if (result.reason == wire::LINK_LOST) {
        onConnectionLost(load);
        return;
    }
    if (result.reason == wire::CONNECT_FAILED && result.load.slots() == 0) {
        markUnreachable(load);
        return;
    }
    load.failures = 0;
    load.suspectUntil = {};
    load.report = result.load;
    load.reportedAt = now;
    load.sentSinceReport = 0;
}

void GatewayLoads::onSilence(const std::string &ip)
{
    onConnectionLost(m_loads[ip]);
}

void GatewayLoads::onConnectionLost(GatewayLoad &load) const
{
    if (m_clock.now() >= load.suspectUntil) {
        markUnreachable(load);
    }
}

void GatewayLoads::markUnreachable(GatewayLoad &load) const
{
    const auto length = std::min(kMaxSuspicion, kInitialSuspicion * (1 << std::min(load.failures, 3)));
    load.suspectUntil = m_clock.now() + length;
    ++load.failures;
}

const GatewayLoad &GatewayLoads::at(const std::string &ip) const
{
    static const GatewayLoad unknown;
    const auto it = m_loads.find(ip);
    return it == m_loads.end() ? unknown : it->second;
}

bool GatewayLoads::isSuspect(const std::string &ip) const
{
    return m_clock.now() < at(ip).suspectUntil;
}

bool GatewayLoads::isFresh(const GatewayLoad &load) const
{
    return load.reportedAt != TimePoint() && m_clock.now() - load.reportedAt <= kReportAge;
}

} // namespace Toucandeck
