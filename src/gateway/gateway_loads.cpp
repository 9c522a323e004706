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
constexpr std::uint32_t kReportsInMean = 50; ///< Number of reports that the means of a service represent.
constexpr double kMaxUtilisation = 8; ///< Bound for wrong reports, in calls per slot.
constexpr std::size_t kMaxSentTimes = 64; ///< Calls to one gateway between two of its reports; there are rarely more than a few.
constexpr std::size_t kMaxPassedOnBytes = 60; ///< In one reply; links of VMs are narrow.
constexpr std::size_t kDrawnPerReport = 2; ///< Reports drawn for each that is passed on, so that receivers get different ones.
constexpr double kTransitSmoothing = 0.3; ///< Weight of the latest round trip.
constexpr std::chrono::seconds kTransitTimeConstant{ 1 }; ///< Time over which the transit time is forgotten without calls.

/// The fields of a report that are passed on to other gateways.
wire::LoadReport loadFieldsOf(const wire::LoadReport &report)
{
    wire::LoadReport load;
    load.set_running(report.running());
    load.set_waiting(report.waiting());
    load.set_slots(report.slots());
    load.set_work_us(report.work_us());
    load.set_cold(report.cold());
    return load;
}

/// Bytes that the report adds to a reply.
std::size_t encodedSize(const PeerReport &report)
{
    wire::CallReply reply;
    addTo(reply, report);
    return reply.ByteSizeLong();
}

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
    if (load.sentAt.size() < kMaxSentTimes) {
        load.sentAt.push_back(m_clock.now());
    }
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
    updateMeans(load, report, at);
    load.report = report;
    load.reportedAt = at;
    const auto isReported = [at](TimePoint it) { return it <= at; };
    load.sentAt.erase(std::remove_if(load.sentAt.begin(), load.sentAt.end(), isReported), load.sentAt.end());
    load.sentSinceReport = static_cast<std::uint32_t>(load.sentAt.size());
}

void GatewayLoads::updateMeans(GatewayLoad &load, const wire::LoadReport &report, TimePoint at)
{
    if (report.slots() == 0) {
        return; // There is no backend server, which says nothing about the load of the others.
    }
    auto &service = m_serviceLoads[load.service];
    const double calls = static_cast<double>(report.running()) + report.waiting();
    const double utilisation = std::min(calls / report.slots(), kMaxUtilisation);
    if (load.reportedAt == TimePoint()) {
        load.usualUtilisation = utilisation;
    } else {
        const double weight = 1 - reportWeight(at - load.reportedAt, kUsualTimeConstant);
        load.usualUtilisation += (utilisation - load.usualUtilisation) * weight;
    }
    service.reports = std::min(service.reports + 1, kReportsInMean);
    service.utilisation += (utilisation - service.utilisation) / service.reports;
    if (report.work_us() != 0) {
        const Duration serviceTime = std::chrono::microseconds(report.work_us());
        const double weight = service.serviceTime == Duration::zero() ? 1 : 1.0 / kReportsInMean;
        service.serviceTime += std::chrono::duration_cast<Duration>((serviceTime - service.serviceTime) * weight);
    }
}

void GatewayLoads::onPeerReport(const std::string &service, const PeerReport &peer)
{
    if (peer.age < Duration::zero() || peer.age > kMaxPassedOnAge || peer.load.slots() == 0) {
        return;
    }
    auto &load = m_loads[peer.gateway];
    load.service = service;
    const auto at = m_clock.now() - peer.age;
    if (at <= load.reportedAt) {
        return;
    }
    auto report = load.report; // A report that is passed on has the fields of the load only.
    report.set_running(peer.load.running());
    report.set_waiting(peer.load.waiting());
    report.set_slots(peer.load.slots());
    report.set_cold(peer.load.cold());
    if (peer.load.work_us() != 0) {
        report.set_work_us(peer.load.work_us());
    }
    report.clear_slowness_permille();
    setReport(load, report, at);
}

void GatewayLoads::forgetIf(const std::function<bool(const std::string &ip)> &isGone)
{
    for (auto it = m_loads.begin(); it != m_loads.end();) {
        it = it->second.inFlight == 0 && isGone(it->first) ? m_loads.erase(it) : std::next(it);
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
    return isSuspect(at(ip));
}

bool GatewayLoads::isSuspect(const GatewayLoad &load) const
{
    return m_clock.now() < load.suspectUntil;
}

bool GatewayLoads::hasNoBackend(const GatewayLoad &load) const
{
    return load.report.slots() == 0 && load.reportedAt != TimePoint() && age(load) <= kMaxPassedOnAge;
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

double GatewayLoads::usualUtilisation(const GatewayLoad &load, const ServiceLoad &service) const
{
    const double weight = load.reportedAt == TimePoint() ? 0 : reportWeight(age(load), kUsualTimeConstant);
    return weight * load.usualUtilisation + (1 - weight) * service.utilisation;
}

Duration GatewayLoads::longestTransitTime() const
{
    Duration longest{};
    for (const auto &it : m_loads) {
        longest = std::max(longest, transitTime(it.second));
    }
    return longest;
}

std::vector<PeerReport>
GatewayLoads::recentReports(const std::string &service, const std::string &receiver, std::size_t n, RandomSource &random) const
{
    using Entry = std::pair<const std::string, GatewayLoad>;
    std::vector<const Entry *> recent;
    for (const auto &it : m_loads) {
        const auto &load = it.second;
        const bool isRecent = load.reportedAt != TimePoint() && age(load) <= kMaxPassedOnAge && load.report.slots() != 0;
        if (isRecent && load.service == service && it.first != receiver) {
            recent.push_back(&it);
        }
    }
    const auto drawn = std::min(n * kDrawnPerReport, recent.size());
    for (std::size_t i = 0; i < drawn; ++i) {
        std::swap(recent[i], recent[i + static_cast<std::size_t>(random.below(recent.size() - i))]);
    }
    recent.resize(drawn);
    const auto isNewer = [](const Entry *a, const Entry *b) { return a->second.reportedAt > b->second.reportedAt; };
    std::sort(recent.begin(), recent.end(), isNewer);
    std::vector<PeerReport> reports;
    std::size_t bytes = 0;
    for (const auto *it : recent) {
        PeerReport report{ it->first, loadFieldsOf(it->second.report), age(it->second) };
        bytes += encodedSize(report);
        if (reports.size() == n || bytes > kMaxPassedOnBytes) {
            break;
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

bool GatewayLoads::isFresh(const GatewayLoad &load) const
{
    return load.reportedAt != TimePoint() && m_clock.now() - load.reportedAt <= kReportAge;
}

void GatewayLoads::retainServices(const std::function<bool(const std::string &service)> &isKnown)
{
    std::erase_if(m_serviceLoads, [&isKnown](const auto &it) { return !isKnown(it.first); });
}

std::size_t GatewayLoads::serviceCount() const
{
    return m_serviceLoads.size();
}

} // namespace Toucandeck
