#include "model_forwarder.h"

#include "model_node.h"

namespace Toucandeck::Model
{

using namespace std::chrono_literals;

namespace
{

constexpr auto kLatencyWindowLength = 1s; // half the duration of a straggler phase in bench_policy
constexpr auto kReportLag = 400ms;

} // namespace

std::uint64_t nextUniqueId()
{
    static std::uint64_t last = 0;
    return ++last;
}

ModelForwarder::ModelForwarder(unsigned domain, const Policies &policies, Simulator &simulator, Environment &environment)
    : m_domain(domain)
    , m_policies(policies)
    , m_simulator(simulator)
    , m_environment(environment)
    , m_retry(policies.retry(simulator.clock, simulator.random))
{
}

ModelForwarder::~ModelForwarder()
{
    for (const auto &it : m_pendingRequests) {
        it->attempts.clear(); // breaks the reference cycle between request and attempts
    }
}

ModelForwarder::Service &ModelForwarder::serviceOf(unsigned number)
{
    auto &service = m_services[number];
    const auto n = m_environment.nodesOf(number).size();
    if (!service.chooser) {
        service.chooser = m_policies.chooser(m_simulator.random);
        service.outlier = m_policies.outlier(m_simulator.clock, m_logger);
        service.hedge = m_policies.hedge(m_simulator.clock);
        service.inFlight.resize(n);
        service.reports.resize(n);
        service.reportTimes.resize(n);
        std::vector<std::uint64_t> ids(n);
        for (std::size_t it = 0; it < n; ++it) {
            ids[it] = it;
            service.latency.emplace_back(m_simulator.clock, kLatencyWindowLength);
        }
        service.outlier->setInstances(ids);
    }
    return service;
}

void ModelForwarder::handle(const Call &call, std::function<void(const Reply &)> done)
{
    ++requests;
    auto pending = std::make_shared<PendingRequest>();
    pending->call = call;
    pending->done = std::move(done);
    m_pendingRequests.insert(pending);
    m_retry->countRequest();
    m_simulator.after(call.deadline - m_simulator.now(), [this, pending] { expire(pending); });
    // Only the owner of the partition may serve a keyed request, so it cannot be hedged.
    const auto delay = call.key == 0 ? serviceOf(call.service).hedge->hedgeDelay(call.method) : std::nullopt;
    if (delay) {
        m_simulator.after(*delay, [this, pending] { hedge(pending); });
    }
    if (!send(pending, false)) {
        finish(pending, { Verdict::NotRun, "no instance", false, 0ms });
    }
}

std::vector<Candidate> ModelForwarder::candidates(Service &service, const std::vector<ModelNode *> &nodes) const
{
    std::vector<Candidate> list(nodes.size());
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        auto &it = list[n];
        it.instance = n;
        it.sameDomain = nodes[n]->index == m_domain;
        it.serving = nodes[n]->state == ServingState::Serving;
        it.onProbation = service.outlier->isOnProbation(n);
        it.inFlight = service.inFlight[n];
        it.recentLatency = service.latency[n].quantile(0.5);
        it.report = service.reports[n];
        it.report->age = m_simulator.now() - service.reportTimes[n];
    }
    return list;
}

ModelNode *ModelForwarder::choose(const PendingRequestPtr &pending, bool mayProbe)
{
    if (pending->call.key != 0) {
        return m_environment.ownerOf(pending->call);
    }
    auto &service = serviceOf(pending->call.service);
    const auto nodes = m_environment.nodesOf(pending->call.service);
    auto chosen = service.chooser->choose(candidates(service, nodes), pending->firstNode);
    if (mayProbe && isIdempotent(pending->call.method) && !pending->call.statusCheck) {
        const auto probe = service.outlier->takeProbe();
        if (probe && nodes[*probe]->state == ServingState::Serving) {
            chosen = *probe;
        }
    }
    if (!chosen) {
        return nullptr;
    }
    pending->firstNode = chosen;
    return nodes[*chosen];
}

bool ModelForwarder::send(const PendingRequestPtr &pending, bool isRetry)
{
    auto *node = choose(pending, !isRetry);
    if (node == nullptr) {
        return false;
    }
    ++attempts;
    auto attempt = std::make_shared<Attempt>();
    attempt->id = nextUniqueId();
    attempt->call = pending->call;
    attempt->node = node;
    attempt->sendTime = m_simulator.now();
    attempt->onReply = [this, pending, weak = std::weak_ptr<Attempt>(attempt)](const Reply &reply) {
        if (const auto it = weak.lock()) {
            onReply(pending, it, reply);
        }
    };
    pending->hedgedAttempts.add(attempt->id);
    pending->attempts.push_back(attempt);
    ++serviceOf(node->service).inFlight[node->index];
    if (const auto delay = m_environment.messageDelay()) {
        m_simulator.after(*delay, [attempt] { attempt->node->receive(attempt); });
    }
    return true;
}

void ModelForwarder::hedge(const PendingRequestPtr &pending)
{
    auto &service = serviceOf(pending->call.service);
    if (!pending->answered && pending->hedgedAttempts.runningCount() == 1 && service.hedge->tryStartHedge()) {
        send(pending, true);
    }
}

void ModelForwarder::settle(const AttemptPtr &attempt, const Reply *reply)
{
    if (attempt->settled) {
        return;
    }
    attempt->settled = true;
    auto &service = serviceOf(attempt->node->service);
    const auto n = attempt->node->index;
    const auto latency = m_simulator.now() - attempt->sendTime;
    --service.inFlight[n];
    const bool refused = reply != nullptr && reply->verdict == Verdict::NotRun;
    if (!refused) {
        // A cancelled attempt would have taken at least this long. Its latency reveals a straggler whose requests are always
        // answered by the hedged attempt first.
        service.latency[n].record(latency);
    }
    if (!refused || reply->shed) {
        service.outlier->record(n, latency, reply == nullptr || reply->verdict == Verdict::Ran);
    }
    if (reply != nullptr && reply->verdict == Verdict::Ran) {
        service.hedge->record(latency);
    }
}

void ModelForwarder::updateReport(Service &service, const ModelNode &node)
{
    const auto n = node.index;
    const bool lagging = reportFault == 1 && m_simulator.now() - service.reportTimes[n] < kReportLag;
    if (lagging || !node.alive) {
        return;
    }
    const auto load = node.admission->inFlight();
    service.reports[n] = { reportFault == 2 ? 9 - std::min(load, 9U) : load, static_cast<unsigned>(node.admission->queueSize()), 0ms };
    service.reportTimes[n] = m_simulator.now();
}

void ModelForwarder::onReply(const PendingRequestPtr &pending, const AttemptPtr &attempt, const Reply &reply)
{
    m_environment.onReplyReceived(*attempt, reply);
    auto &service = serviceOf(attempt->node->service);
    updateReport(service, *attempt->node);
    settle(attempt, &reply);
    if (reply.verdict == Verdict::Ran) {
        if (pending->hedgedAttempts.onAnswered(attempt->id) && !pending->answered) {
            finish(pending, reply);
        }
        return;
    }
    pending->mayHaveRun = pending->mayHaveRun || reply.verdict == Verdict::MayHaveRun;
    if (!pending->hedgedAttempts.onFailed(attempt->id) || pending->answered) {
        return;
    }
    const auto delay = m_retry->retryDelay({ pending->mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                                             pending->call.method,
                                             pending->retries,
                                             false,
                                             pending->call.deadline,
                                             reply.retryAfter });
    if (!delay) {
        finish(pending, reply);
        return;
    }
    ++pending->retries;
    m_simulator.after(*delay, [this, pending, reply] {
        if (!pending->answered && !send(pending, true)) {
            finish(pending, reply);
        }
    });
}

void ModelForwarder::finish(const PendingRequestPtr &pending, const Reply &reply)
{
    TOUCANDECK_ASSERT(!pending->answered, "a request is answered exactly once");
    pending->answered = true;
    for (const auto &attempt : pending->attempts) {
        if (attempt->settled) {
            continue;
        }
        settle(attempt, nullptr);
        if (const auto delay = m_environment.messageDelay()) {
            m_simulator.after(*delay, [attempt] { attempt->node->cancel(attempt); });
        }
    }
    pending->attempts.clear(); // breaks the reference cycle between request and attempts
    m_pendingRequests.erase(pending);
    auto answer = reply;
    if (answer.verdict == Verdict::NotRun && pending->mayHaveRun) {
        answer.verdict = Verdict::MayHaveRun;
    }
    pending->done(answer);
}

void ModelForwarder::expire(const PendingRequestPtr &pending)
{
    if (!pending->answered) {
        pending->mayHaveRun = pending->mayHaveRun || pending->hedgedAttempts.runningCount() > 0;
        finish(pending, { Verdict::NotRun, "deadline", false, 0ms });
    }
}

} // namespace Toucandeck::Model
