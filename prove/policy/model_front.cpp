#include "model_front.h"

#include "model_node.h"

namespace Toucandeck::Model
{

using namespace std::chrono_literals;

namespace
{

constexpr auto kLatencySpan = 1s; // half as long as the phases of the stragglers
constexpr auto kReportLag = 400ms;

} // namespace

std::uint64_t nextAttemptId()
{
    static std::uint64_t last = 0;
    return ++last;
}

ModelFront::ModelFront(unsigned domain, const Policies &policies, Simulator &simulator, Environment &environment)
    : m_domain(domain)
    , m_policies(policies)
    , m_simulator(simulator)
    , m_environment(environment)
    , m_retry(policies.retry(simulator.clock, simulator.random))
{
}

ModelFront::~ModelFront()
{
    for (const auto &it : m_open) {
        it->attempts.clear(); // each of them refers to its request
    }
}

ModelFront::Service &ModelFront::serviceOf(unsigned number)
{
    auto &service = m_services[number];
    const auto n = m_environment.nodesOf(number).size();
    if (!service.chooser) {
        service.chooser = m_policies.chooser(m_simulator.random);
        service.outlier = m_policies.outlier(m_simulator.clock, m_logger);
        service.hedge = m_policies.hedge(m_simulator.clock);
        service.inFlight.resize(n);
        service.reports.resize(n);
        service.reported.resize(n);
        std::vector<std::uint64_t> ids(n);
        for (std::size_t it = 0; it < n; ++it) {
            ids[it] = it;
            service.latency.emplace_back(m_simulator.clock, kLatencySpan);
        }
        service.outlier->setInstances(ids);
    }
    return service;
}

void ModelFront::handle(const Call &call, std::function<void(const Reply &)> done)
{
    ++requests;
    auto pending = std::make_shared<Pending>();
    pending->call = call;
    pending->done = std::move(done);
    m_open.insert(pending);
    m_retry->countRequest();
    m_simulator.after(call.deadline - m_simulator.now(), [this, pending] { expire(pending); });
    // Only one instance may serve a keyed request, so there is no other one to hedge to.
    const auto delay = call.key == 0 ? serviceOf(call.service).hedge->hedgeDelay(call.method) : std::nullopt;
    if (delay) {
        m_simulator.after(*delay, [this, pending] { hedge(pending); });
    }
    if (!send(pending, false)) {
        finish(pending, { Verdict::NotRun, "no instance", false, 0ms });
    }
}

std::vector<Candidate> ModelFront::candidates(Service &service, const std::vector<ModelNode *> &nodes) const
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
        it.report->age = m_simulator.now() - service.reported[n];
    }
    return list;
}

ModelNode *ModelFront::choose(const PendingPtr &pending, bool mayProbe)
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

bool ModelFront::send(const PendingPtr &pending, bool isRetry)
{
    auto *node = choose(pending, !isRetry);
    if (node == nullptr) {
        return false;
    }
    ++attempts;
    auto attempt = std::make_shared<Attempt>();
    attempt->id = nextAttemptId();
    attempt->call = pending->call;
    attempt->node = node;
    attempt->sent = m_simulator.now();
    attempt->onReply = [this, pending, weak = std::weak_ptr<Attempt>(attempt)](const Reply &reply) {
        if (const auto it = weak.lock()) {
            received(pending, it, reply);
        }
    };
    pending->race.add(attempt->id);
    pending->attempts.push_back(attempt);
    ++serviceOf(node->service).inFlight[node->index];
    if (const auto delay = m_environment.delay()) {
        m_simulator.after(*delay, [attempt] { attempt->node->receive(attempt); });
    }
    return true;
}

void ModelFront::hedge(const PendingPtr &pending)
{
    auto &service = serviceOf(pending->call.service);
    if (!pending->answered && pending->race.runningCount() == 1 && service.hedge->tryStartHedge()) {
        send(pending, true);
    }
}

void ModelFront::settle(const AttemptPtr &attempt, const Reply *reply)
{
    if (attempt->settled) {
        return;
    }
    attempt->settled = true;
    auto &service = serviceOf(attempt->node->service);
    const auto n = attempt->node->index;
    const auto latency = m_simulator.now() - attempt->sent;
    --service.inFlight[n];
    const bool refused = reply != nullptr && reply->verdict == Verdict::NotRun;
    if (!refused) {
        // A cancelled attempt took at least this long, which is what tells a straggler whose hedges win.
        service.latency[n].record(latency);
    }
    if (!refused || reply->shed) {
        service.outlier->record(n, latency, reply == nullptr || reply->verdict == Verdict::Ran);
    }
    if (reply != nullptr && reply->verdict == Verdict::Ran) {
        service.hedge->record(latency);
    }
}

void ModelFront::updateReport(Service &service, const ModelNode &node)
{
    const auto n = node.index;
    const bool lagging = reportFault == 1 && m_simulator.now() - service.reported[n] < kReportLag;
    if (lagging || !node.alive) {
        return;
    }
    const auto load = node.admission->inFlight();
    service.reports[n] = { reportFault == 2 ? 9 - std::min(load, 9U) : load, static_cast<unsigned>(node.admission->queueSize()), 0ms };
    service.reported[n] = m_simulator.now();
}

void ModelFront::received(const PendingPtr &pending, const AttemptPtr &attempt, const Reply &reply)
{
    m_environment.replied(*attempt, reply);
    auto &service = serviceOf(attempt->node->service);
    updateReport(service, *attempt->node);
    settle(attempt, &reply);
    if (reply.verdict == Verdict::Ran) {
        if (pending->race.onAnswered(attempt->id) && !pending->answered) {
            finish(pending, reply);
        }
        return;
    }
    pending->mayHaveRun = pending->mayHaveRun || reply.verdict == Verdict::MayHaveRun;
    if (!pending->race.onFailed(attempt->id) || pending->answered) {
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

void ModelFront::finish(const PendingPtr &pending, const Reply &reply)
{
    TOUCANDECK_ASSERT(!pending->answered, "a request is answered exactly once");
    pending->answered = true;
    for (const auto &attempt : pending->attempts) {
        if (attempt->settled) {
            continue;
        }
        settle(attempt, nullptr);
        if (const auto delay = m_environment.delay()) {
            m_simulator.after(*delay, [attempt] { attempt->node->cancel(attempt); });
        }
    }
    pending->attempts.clear(); // each of them refers to this request
    m_open.erase(pending);
    auto answer = reply;
    if (answer.verdict == Verdict::NotRun && pending->mayHaveRun) {
        answer.verdict = Verdict::MayHaveRun;
    }
    pending->done(answer);
}

void ModelFront::expire(const PendingPtr &pending)
{
    if (!pending->answered) {
        pending->mayHaveRun = pending->mayHaveRun || pending->race.runningCount() > 0;
        finish(pending, { Verdict::NotRun, "deadline", false, 0ms });
    }
}

} // namespace Toucandeck::Model
