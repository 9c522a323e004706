#include "gateway/call_router.h"

#include "gateway/candidate_sample.h"
#include "gateway/capacity_weight.h"
#include "gateway/events.h"
#include "gateway/load_estimate.h"
#include "gateway/refused_call_retry.h"
#include "gateway/weighted_sample.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kHolderRetryInterval{ 100 };
constexpr milliseconds kMaxHolderWait{ 600 }; ///< Keys in handover are mostly served again within this time.
constexpr milliseconds kMinHolderWait{ 100 };
constexpr milliseconds kReservedServiceTime{ 100 }; ///< Waiting until the latency target would leave no time to run the call.
/// Consecutive failed connections to a gateway after which calls for its keys are refused without a wait.
constexpr int kFailuresForUnreachable = 2;
constexpr std::uint32_t kNormalSlownessPermille = 1000;
constexpr double kRetryBurst = 4; ///< Retries that one gateway can accumulate; all gateways share the slack of the budget.
constexpr milliseconds kMinTimeForRetry{ 20 };
constexpr std::size_t kComparedByCapacity = 3; ///< The more are compared, the more entries choose the same one at a time.
constexpr std::uint32_t kMaxRedirections = 2;
constexpr std::size_t kReportsPerReply = 3; ///< Reports of other backend servers in a reply.
constexpr milliseconds kSlownessTimeConstant{ 200 }; ///< Machines change their speed several times a second.

} // namespace

CallRouter::CallRouter(const CallRouterParts &parts, std::string ownDomain, double retryShare, Balancing balancing, NestedCalls nestedCalls)
    : m_parts(parts)
    , m_ownDomain(std::move(ownDomain))
    , m_retryShare(retryShare)
    , m_balancing(balancing)
    , m_nestedCalls(nestedCalls)
    , m_loads(parts.loop.clock())
{
    parts.port.setSilenceHandler([this](std::uint64_t callId) { onSilence(callId); });
}

CallRouter::~CallRouter()
{
    m_parts.port.setSilenceHandler(nullptr);
}

std::uint64_t CallRouter::route(Call call, const AttemptPolicy &policy, Done done)
{
    const auto id = m_nextId++;
    const auto it = std::make_shared<RoutedCall>();
    it->call = std::move(call);
    it->policy = policy;
    it->done = std::move(done);
    it->startedAt = m_parts.loop.clock().now();
    m_routedCalls[id] = it;
    m_budgets.try_emplace(it->call.service, m_retryShare, kRetryBurst, 1);
    attempt(id, it);
    return id;
}

void CallRouter::attempt(std::uint64_t id, const RoutedCallPtr &it)
{
    if (isKeyed(*it)) {
        attemptKeyed(id, it);
    } else {
        attemptAny(id, it);
    }
}

bool CallRouter::isKeyed(const RoutedCall &it) const
{
    const auto *service = m_parts.view.service(it.call.service);
    return service != nullptr && service->keyed;
}

void CallRouter::attemptKeyed(std::uint64_t id, const RoutedCallPtr &it)
{
    const auto *row = it->call.key ? m_parts.view.holderOf(it->call.service, *it->call.key) : nullptr;
    if (row == nullptr || row->router.empty()) {
        waitForHolder(id, it, notRun(wire::NOT_HOLDER));
        return;
    }
    sendTo(id, it, row->router);
}

GatewayCandidate CallRouter::makeCandidate(const ListedGateway &gateway) const
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

GatewayCandidate CallRouter::estimateCandidate(const ListedGateway &gateway) const
{
    const auto &load = m_loads.at(gateway.ip);
    const auto &service = m_loads.serviceLoad(gateway.service);
    const auto &report = load.report;
    GatewayCandidate candidate;
    candidate.ip = gateway.ip;
    candidate.sameDomain = gateway.failureDomain == m_ownDomain;
    candidate.slots = std::max(1U, gateway.slots);
    const bool known = load.reportedAt != TimePoint();
    candidate.serviceTime = report.work_us() == 0 ? service.serviceTime : std::chrono::microseconds(report.work_us());
    if (report.speed_permille() != 0) {
        candidate.relativeSpeed = report.speed_permille() / 1000.0;
    } else if (candidate.serviceTime > Duration::zero()) {
        candidate.relativeSpeed = std::chrono::duration<double>(service.serviceTime) / std::chrono::duration<double>(candidate.serviceTime);
    }
    KnownLoad estimate;
    estimate.age = m_loads.age(load);
    estimate.reportedCalls = report.running() + report.waiting() + load.sentSinceReport;
    estimate.usualCalls = (known ? load.usualUtilisation : service.utilisation) * candidate.slots;
    estimate.ownCalls = load.inFlight;
    estimate.serviceTime = candidate.serviceTime;
    candidate.pending = expectedCalls(estimate);
    const double slowdown = std::max(0.0, report.slowness_permille() / static_cast<double>(kNormalSlownessPermille) - 1);
    const double slowness = 1 + slowdown * reportWeight(estimate.age, kSlownessTimeConstant);
    candidate.serviceTime = std::chrono::duration_cast<Duration>(candidate.serviceTime * slowness);
    candidate.failedShare = report.failed_permille() / 1000.0;
    candidate.cold = report.cold();
    candidate.suspect = m_loads.isSuspect(gateway.ip);
    if (load.transitMeasuredAt != TimePoint()) {
        candidate.transitTime = m_loads.transitTime(load);
    }
    return candidate;
}

std::vector<GatewayCandidate> CallRouter::sampleCandidates(const std::vector<const ListedGateway *> &eligible)
{
    std::vector<GatewayCandidate> candidates;
    for (const auto *gateway : sampleGateways(eligible, m_ownDomain, m_parts.random)) {
        candidates.push_back(makeCandidate(*gateway));
    }
    return candidates;
}

std::vector<GatewayCandidate> CallRouter::sampleCandidatesByCapacity(const std::vector<const ListedGateway *> &eligible)
{
    std::vector<GatewayCandidate> all;
    std::vector<double> weights;
    all.reserve(eligible.size());
    weights.reserve(eligible.size());
    for (const auto *gateway : eligible) {
        all.push_back(estimateCandidate(*gateway));
        weights.push_back(capacityWeight(all.back()));
    }
    std::vector<GatewayCandidate> candidates;
    for (const auto index : weightedSample(std::move(weights), kComparedByCapacity, m_parts.random)) {
        candidates.push_back(std::move(all[index]));
    }
    return candidates;
}

std::vector<const ListedGateway *> CallRouter::eligibleGateways(const RoutedCall &it) const
{
    std::vector<const ListedGateway *> found;
    for (const auto *gateway : m_parts.view.gatewaysOf(it.call.service)) {
        const bool eligible = gateway->serving && !m_parts.view.isEvacuated(gateway->failureDomain);
        if (eligible && it.triedGateways.count(gateway->ip) == 0) {
            found.push_back(gateway);
        }
    }
    return found;
}

void CallRouter::attemptAny(std::uint64_t id, const RoutedCallPtr &it)
{
    const bool byCapacity = m_balancing == Balancing::Capacity;
    const auto eligible = eligibleGateways(*it);
    const auto candidates = byCapacity ? sampleCandidatesByCapacity(eligible) : sampleCandidates(eligible);
    if (candidates.empty()) {
        m_parts.loop.runSoon([this, id, it] { finish(id, it, notRun(wire::NO_INSTANCE)); });
        return;
    }
    const auto choice = m_parts.chooser.choose(candidates, m_parts.random);
    const bool mayRedirect = byCapacity && candidates.size() > 1 && it->redirections < kMaxRedirections;
    it->call.maxWait = mayRedirect ? longestUsefulWait(candidates, choice, it->call.request.body.size()) : Duration::zero();
    sendTo(id, it, candidates[choice].ip);
}

void CallRouter::sendTo(std::uint64_t id, const RoutedCallPtr &it, const std::string &ip)
{
    it->gateway = ip;
    it->triedGateways.insert(ip);
    it->waitsForHolder = false;
    const auto number = ++it->attempts;
    it->sentAt = m_parts.loop.clock().now();
    m_loads.setService(ip, it->call.service);
    m_loads.onCallSent(ip);
    it->callId = m_parts.port.send(ip, it->call, [this, id, it, number](CallResult result) {
        if (it->silent && it->silent->number == number) {
            onSilentResult(id, it, std::move(result));
        } else {
            onResult(id, it, std::move(result));
        }
    });
}

std::vector<PeerReport> CallRouter::reportsFor(const std::string &service, const std::string &receiver) const
{
    if (m_balancing != Balancing::Capacity) {
        return {};
    }
    return m_loads.recentReports(service, receiver, kReportsPerReply, m_parts.random);
}

void CallRouter::recordResult(RoutedCall &it, const std::string &gateway, TimePoint sentAt, const CallResult &result)
{
    if (result.reachedBackend && it.reachedBackends++ == 0) {
        // Requests that are refused before they reach a backend server add nothing to the retry budget: the nested calls of a retried
        // run count as retries too, in proportion to the runs.
        m_budgets.at(it.call.service).countRequest();
    }
    m_loads.onCallAnswered(gateway, result);
    if (m_parts.referenceWork != nullptr && result.work > Duration::zero()) {
        m_parts.referenceWork->record(it.call, result.work, m_parts.loop.clock().now());
    }
    if (result.elapsed != Duration::zero()) {
        m_loads.recordTransit(gateway, m_parts.loop.clock().now() - sentAt - result.elapsed);
    }
    for (const auto &peer : result.peers) {
        m_loads.onPeerReport(it.call.service, peer);
    }
}

void CallRouter::onSilence(std::uint64_t callId)
{
    const auto found
        = std::find_if(m_routedCalls.begin(), m_routedCalls.end(), [callId](const auto &entry) { return entry.second->callId == callId; });
    if (found == m_routedCalls.end()) {
        return;
    }
    const auto [id, it] = *found;
    m_loads.onSilence(it->gateway);
    if (it->silent || (!isKeyed(*it) && eligibleGateways(*it).empty())) {
        return;
    }
    it->silent = SilentAttempt{ it->attempts, std::exchange(it->callId, 0), it->gateway, it->sentAt };
    if (!takeRetry(*it)) {
        it->callId = it->silent->callId;
        it->silent.reset();
        return;
    }
    m_parts.logger.write(
        GatewayEvents::kAttemptFailed,
        { field("request", it->call.requestId), field("gateway", it->gateway), field("outcome", "SILENT"), field("next", "repeated") });
    attempt(id, it);
}

void CallRouter::onSilentResult(std::uint64_t id, const RoutedCallPtr &it, CallResult result)
{
    const auto silent = std::exchange(it->silent, std::nullopt);
    const auto &gateway = silent->gateway;
    recordResult(*it, gateway, silent->sentAt, result);
    if (result.outcome == wire::ANSWERED && result.response.status != 500) {
        cancelAttempt(std::exchange(it->callId, 0), it->gateway);
        it->gateway = gateway;
        finish(id, it, std::move(result));
        return;
    }
    it->mayHaveRun = it->mayHaveRun || result.outcome != wire::NOT_RUN;
    if (it->callId == 0 && !it->waitsForHolder) {
        finish(id, it, std::move(result));
    }
}

void CallRouter::cancelAttempt(std::uint64_t callId, const std::string &gateway)
{
    if (callId != 0) {
        m_loads.onCallCancelled(gateway);
        m_parts.port.cancel(callId);
    }
}

void CallRouter::cancelSilentAttempt(RoutedCall &it)
{
    if (const auto silent = std::exchange(it.silent, std::nullopt)) {
        cancelAttempt(silent->callId, silent->gateway);
    }
}

void CallRouter::onResult(std::uint64_t id, const RoutedCallPtr &it, CallResult result)
{
    it->callId = 0;
    recordResult(*it, it->gateway, it->sentAt, result);
    switch (result.outcome) {
    case wire::ANSWERED:
        if (result.response.status == 500 && takeRetry(*it)) {
            onFailure(id, it, std::move(result));
            return;
        }
        finish(id, it, std::move(result));
        return;
    case wire::NOT_RUN:
        onRefusal(id, it, std::move(result));
        return;
    default:
        it->mayHaveRun = true;
        if (takeRetry(*it)) {
            onFailure(id, it, std::move(result));
            return;
        }
        finish(id, it, std::move(result));
    }
}

bool CallRouter::mayRetry(const RoutedCall &it) const
{
    const auto left = it.call.deadline - m_parts.loop.clock().now();
    const auto reached = it.reachedBackends + (it.silent ? 1 : 0); // A silent attempt may have reached its backend server.
    return reached < it.policy.maxAttempts && left > kMinTimeForRetry;
}

bool CallRouter::takeRetry(const RoutedCall &it)
{
    if (!it.policy.idempotent || !mayRetry(it)) {
        return false;
    }
    const auto budget = m_budgets.find(it.call.service);
    return budget != m_budgets.end() && budget->second.tryAcquire();
}

void CallRouter::onFailure(std::uint64_t id, const RoutedCallPtr &it, CallResult result)
{
    m_parts.logger.write(GatewayEvents::kAttemptFailed,
                         { field("request", it->call.requestId),
                           field("gateway", it->gateway),
                           field("outcome", wire::CallOutcome_Name(result.outcome)),
                           field("reason", wire::CallReason_Name(result.reason)),
                           field("status", result.response.status),
                           field("next", "repeated") });
    if (!isKeyed(*it) && eligibleGateways(*it).empty()) {
        finish(id, it, std::move(result));
        return;
    }
    attempt(id, it);
}

void CallRouter::onRefusal(std::uint64_t id, const RoutedCallPtr &it, CallResult result)
{
    if (result.reason == wire::NESTED_CALLS_REFUSED) {
        finish(id, it, std::move(result));
        return;
    }
    it->redirections += result.reason == wire::BUSY ? 1 : 0;
    const bool keyed = isKeyed(*it);
    const bool atInstance = result.reason == wire::REFUSED_BY_INSTANCE;
    if (atInstance && (!mayRetry(*it) || !m_budgets.at(it->call.service).tryAcquire())) {
        finish(id, it, std::move(result));
        return;
    }
    m_parts.logger.write(GatewayEvents::kAttemptFailed,
                         { field("request", it->call.requestId),
                           field("gateway", it->gateway),
                           field("outcome", wire::CallOutcome_Name(result.outcome)),
                           field("reason", wire::CallReason_Name(result.reason)),
                           field("view_age_ms", std::chrono::duration_cast<milliseconds>(m_parts.view.age()).count()),
                           field("next", keyed ? "wait for the holder" : "another gateway") });
    if (keyed) {
        const bool unreachable = result.reason == wire::CONNECT_FAILED && m_loads.at(it->gateway).failures >= kFailuresForUnreachable;
        if (result.reason == wire::OVERLOADED || result.reason == wire::DEADLINE || unreachable) {
            onRoundRefused(id, it, std::move(result));
        } else {
            waitForHolder(id, it, std::move(result));
        }
        return;
    }
    if (it->attempts - it->attemptsBefore >= maxGatewaysTried(it->rounds) || eligibleGateways(*it).empty()) {
        onRoundRefused(id, it, std::move(result));
        return;
    }
    attempt(id, it);
}

void CallRouter::onRoundRefused(std::uint64_t id, const RoutedCallPtr &it, CallResult result)
{
    const auto left = it->call.deadline - m_parts.loop.clock().now();
    std::optional<Duration> pause;
    if (m_nestedCalls == NestedCalls::Protected && it->call.nested && !it->silent) {
        pause = pauseBeforeRetry({ it->rounds, left, m_loads.serviceLoad(it->call.service).serviceTime }, m_parts.random);
    }
    if (!pause) {
        finish(id, it, std::move(result));
        return;
    }
    m_parts.logger.write(GatewayEvents::kNestedCallRetried,
                         { field("request", it->call.requestId),
                           field("reason", wire::CallReason_Name(result.reason)),
                           field("rounds", it->rounds),
                           field("attempts", it->attempts),
                           field("pause_ms", std::chrono::duration_cast<milliseconds>(*pause).count()),
                           field("left_ms", std::chrono::duration_cast<milliseconds>(left).count()) });
    it->retryTimer = m_parts.loop.after(*pause, [this, id, it] { startRound(id, it); });
}

void CallRouter::startRound(std::uint64_t id, const RoutedCallPtr &it)
{
    ++m_retriedNestedCalls;
    ++it->rounds;
    it->attemptsBefore = it->attempts;
    it->triedGateways.clear();
    attempt(id, it);
}

void CallRouter::waitForHolder(std::uint64_t id, const RoutedCallPtr &it, CallResult result)
{
    const auto now = m_parts.loop.clock().now();
    const auto maxWait = std::clamp<Duration>(it->call.targetTime - it->startedAt - kReservedServiceTime, kMinHolderWait, kMaxHolderWait);
    if (now - it->startedAt >= maxWait) {
        finish(id, it, std::move(result));
        return;
    }
    it->waitsForHolder = true;
    it->retryTimer = m_parts.loop.after(kHolderRetryInterval, [this, id, it] {
        if (it->waitsForHolder) {
            it->waitsForHolder = false;
            attemptKeyed(id, it);
        }
    });
}

void CallRouter::onViewChanged()
{
    const auto copy = m_routedCalls;
    for (const auto &[id, it] : copy) {
        if (it->waitsForHolder) {
            it->waitsForHolder = false;
            it->retryTimer.cancel();
            attemptKeyed(id, it);
        }
    }
}

void CallRouter::finish(std::uint64_t id, const RoutedCallPtr &it, CallResult result)
{
    if (it->silent && result.outcome != wire::ANSWERED) {
        return; // The silent attempt may still be answered.
    }
    if (m_routedCalls.erase(id) == 0) {
        return;
    }
    it->retryTimer.cancel();
    cancelSilentAttempt(*it);
    if (it->mayHaveRun && result.outcome == wire::NOT_RUN) {
        result.outcome = wire::MAY_HAVE_RUN; // An earlier attempt may have run the request.
    }
    auto done = std::move(it->done);
    done({ std::move(result), it->attempts, it->reachedBackends, it->gateway });
}

void CallRouter::cancel(std::uint64_t id)
{
    const auto found = m_routedCalls.find(id);
    if (found == m_routedCalls.end()) {
        return;
    }
    const auto it = found->second;
    m_routedCalls.erase(found);
    it->waitsForHolder = false;
    it->retryTimer.cancel();
    cancelAttempt(it->callId, it->gateway);
    cancelSilentAttempt(*it);
}

std::size_t CallRouter::pendingCount() const
{
    return m_routedCalls.size();
}

std::uint64_t CallRouter::retriedNestedCalls() const
{
    return m_retriedNestedCalls;
}

} // namespace Toucandeck
