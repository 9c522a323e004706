#include "gateway/call_router.h"

#include "gateway/candidate_sample.h"
#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxGatewaysAsked = 4; ///< A refusal at a gate reaches no backend server, so more may be asked than may run.
constexpr milliseconds kHolderRetry{ 100 };
constexpr milliseconds kHolderPatience{ 600 }; ///< Keys that change hands are mostly served again within this time.
constexpr milliseconds kLeastHolderPatience{ 100 };
constexpr milliseconds kTimeToRun{ 100 }; ///< A wait until the aim would leave no time for the work.
constexpr int kFailuresOfCutOff = 2; ///< Of connections to a gateway in a row; a call for keys there is refused without a wait.
constexpr std::uint32_t kUsualSlowness = 1000; ///< In thousandths.
constexpr double kRetryBurst = 4; ///< Repeats that one gateway can save up; all gateways share the slack of the budget.
constexpr milliseconds kLeastTimeForRepeat{ 20 };

} // namespace

CallRouter::CallRouter(const CallRouterParts &parts, std::string ownDomain, double retryShare)
    : m_parts(parts)
    , m_ownDomain(std::move(ownDomain))
    , m_retryShare(retryShare)
    , m_loads(parts.loop.clock())
{
}

CallRouter::~CallRouter() = default;

std::uint64_t CallRouter::route(Call call, const AttemptTerms &terms, Done done)
{
    const auto id = m_nextId++;
    const auto it = std::make_shared<Routed>();
    it->call = std::move(call);
    it->terms = terms;
    it->done = std::move(done);
    it->started = m_parts.loop.clock().now();
    m_routed[id] = it;
    m_budgets.try_emplace(it->call.service, m_retryShare, kRetryBurst, 1);
    attempt(id, it);
    return id;
}

void CallRouter::attempt(std::uint64_t id, const Entry &it)
{
    const auto *service = m_parts.view.service(it->call.service);
    if (service != nullptr && service->keyed) {
        attemptKeyed(id, it);
    } else {
        attemptAny(id, it);
    }
}

void CallRouter::attemptKeyed(std::uint64_t id, const Entry &it)
{
    const auto *row = it->call.key ? m_parts.view.holderOf(it->call.service, *it->call.key) : nullptr;
    if (row == nullptr || row->router.empty()) {
        waitForHolder(id, it, notRun(wire::NOT_HOLDER));
        return;
    }
    sendTo(id, it, row->router);
}

GatewayCandidate CallRouter::describe(const ListedGateway &gateway) const
{
    const auto &load = m_loads.at(gateway.ip);
    GatewayCandidate candidate;
    candidate.ip = gateway.ip;
    candidate.sameDomain = gateway.failureDomain == m_ownDomain;
    candidate.slots = std::max(1U, gateway.slots);
    const auto reported = m_loads.isFresh(load) ? load.report.running() + load.report.waiting() + load.sentSince : 0;
    candidate.pending = std::max(reported, load.inFlight);
    candidate.work = std::chrono::microseconds(load.report.work_us());
    if (load.report.slowness_permille() != 0 && m_loads.isFresh(load)) {
        // Only a slow moment counts: the last gateway used would otherwise be preferred to all whose moment is not known.
        candidate.work = candidate.work * std::max(kUsualSlowness, load.report.slowness_permille()) / kUsualSlowness;
    }
    candidate.failedShare = load.report.failed_permille() / 1000.0;
    candidate.cold = load.report.cold();
    candidate.suspect = m_loads.isSuspect(gateway.ip);
    return candidate;
}

std::vector<const ListedGateway *> CallRouter::openGateways(const Routed &it) const
{
    std::vector<const ListedGateway *> found;
    for (const auto *gateway : m_parts.view.gatewaysOf(it.call.service)) {
        const bool open = gateway->serving && !m_parts.view.isEvacuated(gateway->failureDomain);
        if (open && it.tried.count(gateway->ip) == 0) {
            found.push_back(gateway);
        }
    }
    return found;
}

void CallRouter::attemptAny(std::uint64_t id, const Entry &it)
{
    const auto sample = sampleGateways(openGateways(*it), m_ownDomain, m_parts.random);
    if (sample.empty()) {
        m_parts.loop.runSoon([this, id, it] { finish(id, it, notRun(wire::NO_INSTANCE)); });
        return;
    }
    std::vector<GatewayCandidate> candidates;
    candidates.reserve(sample.size());
    for (const auto *gateway : sample) {
        candidates.push_back(describe(*gateway));
    }
    const auto choice = m_parts.chooser.choose(candidates, m_parts.random);
    sendTo(id, it, candidates[choice].ip);
}

void CallRouter::sendTo(std::uint64_t id, const Entry &it, const std::string &ip)
{
    it->gateway = ip;
    it->tried.insert(ip);
    it->waitsForHolder = false;
    ++it->attempts;
    m_loads.sent(ip);
    it->sentAs = m_parts.port.send(ip, it->call, [this, id, it](CallResult result) { onResult(id, it, std::move(result)); });
}

void CallRouter::onResult(std::uint64_t id, const Entry &it, CallResult result)
{
    it->sentAs = 0;
    if (result.reached && it->reached++ == 0) {
        // Requests that are refused before they reach a backend server earn no repeats: the calls that a repeated run makes count as
        // repeats too, in proportion to the runs.
        m_budgets.at(it->call.service).countRequest();
    }
    m_loads.answered(it->gateway, result);
    switch (result.outcome) {
    case wire::ANSWERED:
        if (result.response.status == 500 && takeRepeat(*it)) {
            afterFailure(id, it, std::move(result));
            return;
        }
        finish(id, it, std::move(result));
        return;
    case wire::NOT_RUN:
        afterRefusal(id, it, std::move(result));
        return;
    default:
        it->mayHaveRun = true;
        if (takeRepeat(*it)) {
            afterFailure(id, it, std::move(result));
            return;
        }
        finish(id, it, std::move(result));
    }
}

bool CallRouter::mayRepeat(const Routed &it) const
{
    const auto left = it.call.deadline - m_parts.loop.clock().now();
    return it.reached < it.terms.maxAttempts && left > kLeastTimeForRepeat;
}

bool CallRouter::takeRepeat(const Routed &it)
{
    if (!it.terms.idempotent || !mayRepeat(it)) {
        return false;
    }
    const auto budget = m_budgets.find(it.call.service);
    return budget != m_budgets.end() && budget->second.take();
}

void CallRouter::afterFailure(std::uint64_t id, const Entry &it, CallResult result)
{
    m_parts.logger.write(GatewayEvents::kAttemptFailed,
                         { field("request", it->call.requestId),
                           field("gateway", it->gateway),
                           field("outcome", wire::CallOutcome_Name(result.outcome)),
                           field("reason", wire::CallReason_Name(result.reason)),
                           field("status", result.response.status),
                           field("next", "repeated") });
    const auto *service = m_parts.view.service(it->call.service);
    const bool keyed = service != nullptr && service->keyed;
    if (!keyed && openGateways(*it).empty()) {
        finish(id, it, std::move(result));
        return;
    }
    attempt(id, it);
}

void CallRouter::afterRefusal(std::uint64_t id, const Entry &it, CallResult result)
{
    const auto *service = m_parts.view.service(it->call.service);
    const bool keyed = service != nullptr && service->keyed;
    const bool atInstance = result.reason == wire::REFUSED_BY_INSTANCE;
    if (atInstance && (!mayRepeat(*it) || !m_budgets.at(it->call.service).take())) {
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
        const bool cutOff = result.reason == wire::CONNECT_FAILED && m_loads.at(it->gateway).failures >= kFailuresOfCutOff;
        if (result.reason == wire::OVERLOADED || result.reason == wire::DEADLINE || cutOff) {
            finish(id, it, std::move(result));
        } else {
            waitForHolder(id, it, std::move(result));
        }
        return;
    }
    if (it->attempts >= kMaxGatewaysAsked || openGateways(*it).empty()) {
        finish(id, it, std::move(result));
        return;
    }
    attempt(id, it);
}

void CallRouter::waitForHolder(std::uint64_t id, const Entry &it, CallResult result)
{
    const auto now = m_parts.loop.clock().now();
    const auto patience = std::clamp<Duration>(it->call.aim - it->started - kTimeToRun, kLeastHolderPatience, kHolderPatience);
    if (now - it->started >= patience) {
        finish(id, it, std::move(result));
        return;
    }
    it->waitsForHolder = true;
    it->retry = m_parts.loop.after(kHolderRetry, [this, id, it] {
        if (it->waitsForHolder) {
            it->waitsForHolder = false;
            attemptKeyed(id, it);
        }
    });
}

void CallRouter::viewChanged()
{
    const auto copy = m_routed;
    for (const auto &[id, it] : copy) {
        if (it->waitsForHolder) {
            it->waitsForHolder = false;
            it->retry.cancel();
            attemptKeyed(id, it);
        }
    }
}

void CallRouter::finish(std::uint64_t id, const Entry &it, CallResult result)
{
    if (m_routed.erase(id) == 0) {
        return;
    }
    it->retry.cancel();
    if (it->mayHaveRun && result.outcome == wire::NOT_RUN) {
        result.outcome = wire::MAY_HAVE_RUN; // An earlier attempt may have run.
    }
    auto done = std::move(it->done);
    done({ std::move(result), it->attempts, it->reached, it->gateway });
}

void CallRouter::cancel(std::uint64_t id)
{
    const auto found = m_routed.find(id);
    if (found == m_routed.end()) {
        return;
    }
    const auto it = found->second;
    m_routed.erase(found);
    it->waitsForHolder = false;
    it->retry.cancel();
    if (it->sentAs != 0) {
        m_loads.cancelled(it->gateway);
        m_parts.port.cancel(it->sentAs);
    }
}

std::size_t CallRouter::pending() const
{
    return m_routed.size();
}

} // namespace Toucandeck
