#include "gateway/call_router.h"

#include "gateway/events.h"
#include "gateway/refused_call_retry.h"

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
constexpr double kRetryBurst = 4; ///< Retries that one gateway can accumulate; all gateways share the slack of the budget.
constexpr milliseconds kMinTimeForRetry{ 20 };
constexpr std::uint32_t kMaxRedirections = 2;
constexpr std::size_t kReportsPerReply = 3; ///< Reports of other backend servers in a reply.

} // namespace

CallRouter::CallRouter(const CallRouterParts &parts, std::string ownDomain, double retryShare, Balancing balancing, NestedCalls nestedCalls)
    : m_parts(parts)
    , m_retryShare(retryShare)
    , m_nestedCalls(nestedCalls)
    , m_loads(parts.loop.clock())
    , m_selector(m_loads, parts.chooser, parts.random, std::move(ownDomain), balancing)
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
    const bool mayRedirect = it->redirections < kMaxRedirections;
    const auto selection = m_selector.select(eligibleGateways(*it), it->call.request.body.size(), mayRedirect);
    if (!selection) {
        m_parts.loop.runSoon([this, id, it] { finish(id, it, notRun(wire::NO_INSTANCE)); });
        return;
    }
    it->call.maxWait = selection->maxWait;
    m_counters.recordSelection(selection->reportAge);
    sendTo(id, it, selection->gateway);
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
    const auto *known = m_parts.view.service(service);
    if (m_selector.balancing() != Balancing::Capacity || known == nullptr || known->keyed) {
        return {}; // The calls of a keyed service have one possible target.
    }
    return m_loads.recentReports(service, receiver, kReportsPerReply, m_parts.random);
}

const RoutingCounters &CallRouter::counters() const
{
    return m_counters;
}

Duration CallRouter::longestTransitTime() const
{
    return m_loads.longestTransitTime();
}

void CallRouter::recordPeerReports(const std::string &service, const CallResult &result)
{
    if (m_selector.balancing() != Balancing::Capacity) {
        return;
    }
    for (const auto &it : result.peers) {
        const auto *gateway = m_parts.view.gateway(it.gateway);
        if (gateway != nullptr && gateway->service == service) {
            m_loads.onPeerReport(service, it);
        }
    }
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
    recordPeerReports(it.call.service, result);
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
            it->mayHaveRun = true;
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
    if (result.reason == wire::BUSY) {
        ++it->redirections;
        ++m_counters.redirected;
    }
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
    m_loads.forgetIf([this](const std::string &ip) { return m_parts.view.gateway(ip) == nullptr; });
    const auto copy = m_routedCalls;
    for (const auto &[id, it] : copy) {
        if (it->waitsForHolder) {
            it->waitsForHolder = false;
            it->retryTimer.cancel();
            attemptKeyed(id, it);
        }
    }
}

void CallRouter::retainServices(const std::function<bool(const std::string &service)> &isKnown)
{
    std::set<std::string> called;
    for (const auto &[id, it] : m_routedCalls) {
        called.insert(it->call.service);
    }
    const auto isKept = [&](const std::string &service) { return isKnown(service) || called.count(service) != 0; };
    std::erase_if(m_budgets, [&isKept](const auto &it) { return !isKept(it.first); });
    m_loads.retainServices(isKept);
}

std::size_t CallRouter::serviceCount() const
{
    return std::max(m_budgets.size(), m_loads.serviceCount());
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
