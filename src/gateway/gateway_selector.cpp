#include "gateway/gateway_selector.h"

#include "gateway/candidate_sample.h"
#include "gateway/capacity_weight.h"
#include "gateway/load_estimate.h"
#include "gateway/weighted_sample.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t kNormalSlownessPermille = 1000;
constexpr double kMaxSlowness = 4; ///< Bound for wrong reports.
constexpr std::size_t kComparedByCapacity = 2; ///< The more are compared, the more entries choose the same one at a time.
constexpr std::size_t kComparedAtLightLoad = 16; ///< The more are compared, the faster the fastest of them.
constexpr milliseconds kSlownessTimeConstant{ 200 }; ///< Machines change their speed several times a second.
/// Bounds of a backend server's service time in relation to its service's, for wrong reports.
constexpr std::int64_t kMaxServiceTimeRatio = 4;
/// Mean utilisation up to which the fastest backend servers are preferred, and from which work is spread by capacity only. In between the
/// weight of the speed decreases evenly.
constexpr double kLightUtilisation = 0.45;
constexpr double kFullUtilisation = 0.6;

double lightness(double utilisation)
{
    return std::clamp((kFullUtilisation - utilisation) / (kFullUtilisation - kLightUtilisation), 0.0, 1.0);
}

double meanUtilisation(const std::vector<GatewayCandidate> &candidates)
{
    double pending = 0;
    double slots = 0;
    for (const auto &it : candidates) {
        pending += it.pending;
        slots += it.slots;
    }
    return pending / slots;
}

Duration boundedServiceTime(const wire::LoadReport &report, Duration usual)
{
    if (report.work_us() == 0) {
        return usual;
    }
    const Duration reported = std::chrono::microseconds(report.work_us());
    return usual == Duration::zero() ? reported : std::clamp(reported, usual / kMaxServiceTimeRatio, usual * kMaxServiceTimeRatio);
}

double relativeSpeed(const wire::LoadReport &report, Duration serviceTime, Duration usual)
{
    if (report.speed_permille() != 0) {
        return report.speed_permille() / 1000.0;
    }
    if (serviceTime == Duration::zero() || usual == Duration::zero()) {
        return 1;
    }
    return std::chrono::duration<double>(usual) / std::chrono::duration<double>(serviceTime);
}

} // namespace

GatewaySelector::GatewaySelector(
    const GatewayLoads &loads, const GatewayChooser &chooser, RandomSource &random, std::string ownDomain, Balancing balancing)
    : m_loads(loads)
    , m_chooser(chooser)
    , m_random(random)
    , m_ownDomain(std::move(ownDomain))
    , m_balancing(balancing)
{
}

Balancing GatewaySelector::balancing() const
{
    return m_balancing;
}

std::optional<Selection>
GatewaySelector::select(const std::vector<const ListedGateway *> &eligible, std::size_t bodyBytes, bool mayRedirect) const
{
    if (eligible.empty()) {
        return std::nullopt;
    }
    const bool byCapacity = m_balancing == Balancing::Capacity;
    const auto candidates = byCapacity ? sampleByCapacity(eligible) : sampleCandidates(eligible);
    const auto choice = m_chooser.choose(candidates, m_random);
    Selection selection;
    selection.gateway = candidates[choice].ip;
    if (byCapacity && mayRedirect && candidates.size() > 1) {
        selection.maxWait = longestUsefulWait(candidates, choice, bodyBytes);
    }
    const auto &load = m_loads.at(selection.gateway);
    if (load.reportedAt != TimePoint()) {
        selection.reportAge = m_loads.age(load);
    }
    return selection;
}

GatewayCandidate GatewaySelector::makeCandidate(const ListedGateway &gateway) const
{
    const auto &load = m_loads.at(gateway.ip);
    GatewayCandidate candidate;
    candidate.ip = gateway.ip;
    candidate.sameDomain = gateway.failureDomain == m_ownDomain;
    candidate.slots = std::max(1U, gateway.slots);
    const auto reported = m_loads.isFresh(load) ? load.report.running() + load.report.waiting() + load.sentSinceReport : 0;
    candidate.pending = static_cast<double>(std::max(reported, load.inFlight));
    candidate.serviceTime = std::chrono::microseconds(load.report.work_us());
    if (load.report.slowness_permille() != 0 && m_loads.isFresh(load)) {
        // Only a slowdown counts: otherwise the gateway used last would be preferred to all gateways without a recent report.
        candidate.serviceTime
            = candidate.serviceTime * std::max(kNormalSlownessPermille, load.report.slowness_permille()) / kNormalSlownessPermille;
    }
    candidate.failedShare = load.report.failed_permille() / 1000.0;
    candidate.cold = load.report.cold();
    candidate.suspect = m_loads.isSuspect(gateway.ip);
    return candidate;
}

GatewayCandidate GatewaySelector::estimateCandidate(const ListedGateway &gateway, const ServiceLoad &service) const
{
    const auto &load = m_loads.at(gateway.ip);
    const auto &report = load.report;
    GatewayCandidate candidate;
    candidate.ip = gateway.ip;
    candidate.sameDomain = gateway.failureDomain == m_ownDomain;
    candidate.slots = std::max(1U, gateway.slots);
    candidate.serviceTime = boundedServiceTime(report, service.serviceTime);
    candidate.relativeSpeed = relativeSpeed(report, candidate.serviceTime, service.serviceTime);
    KnownLoad estimate;
    estimate.age = m_loads.age(load);
    estimate.reportedCalls = static_cast<double>(report.running()) + report.waiting() + load.sentSinceReport;
    estimate.usualCalls = m_loads.usualUtilisation(load, service) * candidate.slots;
    estimate.ownCalls = load.inFlight;
    estimate.serviceTime = candidate.serviceTime;
    candidate.pending = expectedCalls(estimate);
    const double reported = std::clamp(report.slowness_permille() / static_cast<double>(kNormalSlownessPermille), 1.0, kMaxSlowness);
    const double slowness = 1 + (reported - 1) * reportWeight(estimate.age, kSlownessTimeConstant);
    candidate.serviceTime = std::chrono::duration_cast<Duration>(candidate.serviceTime * slowness);
    candidate.relativeSpeed /= slowness;
    candidate.failedShare = report.failed_permille() / 1000.0;
    candidate.cold = report.cold();
    candidate.suspect = m_loads.isSuspect(load) || m_loads.hasNoBackend(load);
    if (load.transitMeasuredAt != TimePoint()) {
        candidate.transitTime = m_loads.transitTime(load);
    }
    return candidate;
}

GatewaySelector::Candidates GatewaySelector::sampleCandidates(const std::vector<const ListedGateway *> &eligible) const
{
    Candidates candidates;
    for (const auto *gateway : sampleGateways(eligible, m_ownDomain, m_random)) {
        candidates.push_back(makeCandidate(*gateway));
    }
    return candidates;
}

GatewaySelector::Candidates GatewaySelector::sampleByCapacity(const std::vector<const ListedGateway *> &eligible) const
{
    const auto &service = m_loads.serviceLoad(eligible.front()->service);
    Candidates all;
    std::vector<double> weights;
    all.reserve(eligible.size());
    weights.reserve(eligible.size());
    for (const auto *gateway : eligible) {
        all.push_back(estimateCandidate(*gateway, service));
        weights.push_back(capacityWeight(all.back()));
    }
    const double light = lightness(meanUtilisation(all));
    // Decreases faster than the weight of the speed, since many entries that compare many choose the same few backend servers.
    const auto extra = static_cast<std::size_t>(std::lround(std::pow(light, 3) * (kComparedAtLightLoad - kComparedByCapacity)));
    Candidates candidates;
    for (const auto index : weightedSample(std::move(weights), kComparedByCapacity + extra, m_random)) {
        auto &it = candidates.emplace_back(std::move(all[index]));
        it.speedWeight = light;
        it.usualServiceTime = service.serviceTime;
    }
    return candidates;
}

} // namespace Toucandeck
