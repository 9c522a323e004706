#include "gateway/gateway_loads.h"

#include "gateway/load_estimate.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kInitialSuspicion{ 300 }; ///< After the first connection failure, doubled with each further one; after LEAVING.
constexpr milliseconds kMaxSuspicion{ 2400 };
constexpr milliseconds kReportAge{ 400 }; ///< An older report says little about the current load.
constexpr milliseconds kMaxPassedOnAge{ 1000 }; ///< Older reports are not passed on to other gateways.
constexpr std::chrono::seconds kUsualTimeConstant{ 2 }; ///< Of the mean utilisation of one backend server.
constexpr double kServiceSmoothing = 0.02; ///< Weight of the latest report in the means of a service.
constexpr double kTransitSmoothing = 0.3; ///< Weight of the latest round trip.
constexpr std::chrono::seconds kTransitTimeConstant{ 1 }; ///< Time over which the transit time is forgotten without calls.

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
    setReport(load, result.load, now);
}

void GatewayLoads::setReport(GatewayLoad &load, const wire::LoadReport &report, TimePoint at)
{
    const double slots = std::max(1U, report.slots());
    const double utilisation = (report.running() + report.waiting()) / slots;
    auto &service = m_serviceLoads[load.service];
    if (load.reportedAt == TimePoint()) {
        load.usualUtilisation = utilisation;
    } else {
        const double weight = 1 - reportWeight(at - load.reportedAt, kUsualTimeConstant);
        load.usualUtilisation += (utilisation - load.usualUtilisation) * weight;
    }
    service.utilisation += (utilisation - service.utilisation) * kServiceSmoothing;
    if (report.work_us() != 0) {
        const auto serviceTime = std::chrono::microseconds(report.work_us());
        const auto weight = service.serviceTime == Duration::zero() ? 1 : kServiceSmoothing;
        service.serviceTime += std::chrono::duration_cast<Duration>((serviceTime - service.serviceTime) * weight);
    }
    load.report = report;
    load.reportedAt = at;
    load.sentSinceReport = 0;
}

void GatewayLoads::onPeerReport(const std::string &service, const PeerReport &peer)
{
    auto &load = m_loads[peer.gateway];
    load.service = service;
    const auto at = m_clock.now() - peer.age;
    if (at > load.reportedAt) {
        setReport(load, peer.load, at);
    }
}

void GatewayLoads::recordTransit(const std::string &ip, Duration transitTime)
{
    auto &load = m_loads[ip];
    const auto sample = std::max(transitTime, Duration::zero());
    const auto former = this->transitTime(load);
    const double weight = load.transitMeasuredAt == TimePoint() ? 1 : kTransitSmoothing;
    load.transitTime = former + std::chrono::duration_cast<Duration>((sample - former) * weight);
    load.transitMeasuredAt = m_clock.now();
}

void GatewayLoads::setService(const std::string &ip, const std::string &service)
{
    m_loads[ip].service = service;
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

Duration GatewayLoads::age(const GatewayLoad &load) const
{
    return load.reportedAt == TimePoint() ? Duration::max() : m_clock.now() - load.reportedAt;
}

Duration GatewayLoads::transitTime(const GatewayLoad &load) const
{
    if (load.transitMeasuredAt == TimePoint()) {
        return {};
    }
    const double weight = reportWeight(m_clock.now() - load.transitMeasuredAt, kTransitTimeConstant);
    return std::chrono::duration_cast<Duration>(load.transitTime * weight);
}

const ServiceLoad &GatewayLoads::serviceLoad(const std::string &service) const
{
    static const ServiceLoad unknown;
    const auto it = m_serviceLoads.find(service);
    return it == m_serviceLoads.end() ? unknown : it->second;
}

std::vector<PeerReport>
GatewayLoads::recentReports(const std::string &service, const std::string &receiver, std::size_t n, RandomSource &random) const
{
    const auto now = m_clock.now();
    std::vector<const std::pair<const std::string, GatewayLoad> *> recent;
    for (const auto &it : m_loads) {
        const auto &load = it.second;
        if (load.service == service && it.first != receiver && now - load.reportedAt <= kMaxPassedOnAge) {
            recent.push_back(&it);
        }
    }
    std::vector<PeerReport> reports;
    for (std::size_t i = 0; i < std::min(n, recent.size()); ++i) {
        std::swap(recent[i], recent[i + static_cast<std::size_t>(random.below(recent.size() - i))]);
        const auto &[gateway, load] = *recent[i];
        reports.push_back({ gateway, load.report, now - load.reportedAt });
    }
    return reports;
}

bool GatewayLoads::isFresh(const GatewayLoad &load) const
{
    return load.reportedAt != TimePoint() && m_clock.now() - load.reportedAt <= kReportAge;
}

} // namespace Toucandeck
