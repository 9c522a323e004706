#include "model_node.h"

#include "model_forwarder.h"

namespace Toucandeck::Model
{

using namespace std::chrono_literals;

namespace
{

constexpr auto kCancelDetectionTime = 5ms; // until the backend server detects the closed connection
constexpr auto kShedTime = 200us;
constexpr auto kConnectTime = 1ms;
constexpr std::uint32_t kPartitions = 8;

} // namespace

ModelNode::ModelNode(unsigned serviceNumber, unsigned domain, const Policies &policies, Simulator &simulator, Environment &environment)
    : service(serviceNumber)
    , index(domain)
    , backend(simulator)
    , m_policies(policies)
    , m_simulator(simulator)
    , m_environment(environment)
{
    createState();
    forwarder = std::make_unique<ModelForwarder>(index, policies, simulator, environment);
}

ModelNode::~ModelNode() = default;

void ModelNode::createState()
{
    admission = std::make_unique<AdmissionController>(
        m_policies.admission, m_policies.limit(), m_policies.ramp(m_simulator.clock), m_simulator.clock, m_simulator.random, m_logger);
    table = std::make_unique<IdempotencyTable>(m_simulator.clock, m_policies.idempotency);
    lastFinish = m_simulator.now();
}

void ModelNode::afterIfAlive(Duration delay, std::function<void()> action)
{
    m_simulator.after(delay, [this, incarnation = m_incarnation, action = std::move(action)] {
        if (alive && incarnation == m_incarnation) {
            action();
        }
    });
}

IdempotencyId ModelNode::idOf(const Call &call) const
{
    return { std::to_string(call.service), KeyHash{ call.key }, call.idempotencyKey };
}

void ModelNode::receive(const AttemptPtr &attempt)
{
    if (!alive) {
        return;
    }
    const auto &call = attempt->call;
    if (call.key != 0 && m_environment.ownerOf(call) != this) {
        reply(attempt, { Verdict::NotRun, "not the owner", false, 0ms });
        return;
    }
    if (!call.idempotencyKey.empty() && !beginIdempotent(attempt)) {
        return;
    }
    auto work = std::make_shared<Work>();
    work->attempt = attempt;
    work->arrivalTime = m_simulator.now();
    m_work[attempt->id] = work;
    const auto decision = admission->submit({ attempt->id, call.depth, call.deadline, call.nested, call.statusCheck });
    if (const auto *it = std::get_if<Start>(&decision)) {
        start(*it);
    } else if (const auto *refusal = std::get_if<Refusal>(&decision)) {
        refuse(*refusal);
    }
    pollAdmission();
}

bool ModelNode::beginIdempotent(const AttemptPtr &attempt)
{
    const auto &call = attempt->call;
    const auto partition = partitionOf(KeyHash{ call.key }, kPartitions);
    const IdempotencyRequest request{ idOf(call), partition, attempt->id, call.firstSent, m_environment.unknownBefore(call) };
    const auto result = handleError([&]() -> Result<std::optional<BeginResult>> { return table->begin(request); },
                                    [](const Error & /*error*/) { return std::optional<BeginResult>(); });
    if (!result) {
        reply(attempt, { Verdict::NotRun, "table full", false, 1s });
    } else if (const auto *stored = std::get_if<AnswerStored>(&*result)) {
        reply(attempt, { Verdict::Ran, stored->answer->body, false, 0ms });
    } else if (std::holds_alternative<OutcomeUnknown>(*result)) {
        reply(attempt, { Verdict::MayHaveRun, "unknown", false, 0ms });
    } else if (std::holds_alternative<WaitForRunning>(*result)) {
        m_waiters[attempt->id] = attempt;
    }
    return result && std::holds_alternative<RunNow>(*result);
}

void ModelNode::start(const Start &start)
{
    const auto work = m_work.at(start.id);
    work->startTime = m_simulator.now();
    TOUCANDECK_ASSERT(state == ServingState::Serving, "only a serving instance starts requests");
    afterIfAlive(work->attempt->call.deadline - m_simulator.now(), [this, work] { failWork(work, AnswerKind::Failed); });
    if (start.openConnection) {
        afterIfAlive(kConnectTime, [this, work] { execute(work); });
    } else {
        execute(work);
    }
}

void ModelNode::execute(const WorkPtr &work)
{
    if (work->slotReleased) {
        return; // cancelled while the connection was opened
    }
    if (!backend.startRequest()) {
        afterIfAlive(kShedTime, [this, work] {
            releaseSlot(work, AnswerKind::Shed, true);
            finishWork(work, { Verdict::NotRun, "shed", true, 0ms });
        });
        return;
    }
    work->atBackend = true;
    m_environment.onExecutionStarted(*this, *work->attempt);
    const auto time = backend.serviceTime();
    if (m_environment.breaksConnection()) {
        afterIfAlive(time / 2, [this, work] { failWork(work, AnswerKind::Failed); });
    }
    // The backend server continues after a crash of its router, hence no afterIfAlive().
    m_simulator.after(time, [this, work] { callNested(work); });
}

void ModelNode::callNested(const WorkPtr &work)
{
    auto nested = work->slotReleased || !alive ? std::nullopt : m_environment.nestedCall(work->attempt->call);
    if (!nested) {
        answer(work);
        return;
    }
    forwarder->handle(*nested, [this, work](const Reply & /*reply*/) { answer(work); });
}

void ModelNode::answer(const WorkPtr &work)
{
    if (!work->atBackend) {
        return;
    }
    const auto body = m_policies.bodyTime > 0ms ? m_simulator.exponential(m_policies.bodyTime) : Duration::zero();
    if (m_policies.releaseAtHeaders) {
        releaseSlot(work, AnswerKind::Ok, true);
        pollAdmission();
    }
    const auto finish = [this, work] {
        if (work->atBackend) {
            work->atBackend = false;
            backend.finishRequest();
        }
        releaseSlot(work, AnswerKind::Ok, true);
        finishWork(work, { Verdict::Ran, "answer to " + work->attempt->call.idempotencyKey, false, 0ms });
    };
    if (body > 0ms) {
        m_simulator.after(body, finish);
    } else {
        finish();
    }
}

void ModelNode::releaseSlot(const WorkPtr &work, AnswerKind kind, bool connectionKept)
{
    if (work->slotReleased || !m_work.contains(work->attempt->id) || m_work.at(work->attempt->id) != work) {
        return;
    }
    work->slotReleased = true;
    admission->onRequestFinished(work->attempt->id, { kind, m_simulator.now() - work->startTime, connectionKept });
}

void ModelNode::finishWork(const WorkPtr &work, const Reply &answer)
{
    const auto it = m_work.find(work->attempt->id);
    if (it == m_work.end() || it->second != work) {
        return; // already finished or cancelled, or the router has crashed
    }
    m_work.erase(it);
    if (answer.verdict == Verdict::Ran) {
        lastFinish = m_simulator.now();
        m_environment.onExecutionFinished(*this, *work->attempt, work->startTime - work->arrivalTime);
    }
    finishIdempotent(work->attempt->call, answer);
    reply(work->attempt, answer);
    pollAdmission();
}

void ModelNode::failWork(const WorkPtr &work, AnswerKind kind)
{
    if (work->slotReleased) {
        return;
    }
    releaseSlot(work, kind, false);
    m_simulator.after(kCancelDetectionTime, [this, work] {
        if (work->atBackend) {
            work->atBackend = false;
            backend.finishRequest();
        }
    });
    finishWork(work, { Verdict::MayHaveRun, "cancelled or timed out", false, 0ms });
}

void ModelNode::cancel(const AttemptPtr &attempt)
{
    const auto it = m_work.find(attempt->id);
    if (!alive || it == m_work.end()) {
        return;
    }
    const auto work = it->second;
    if (work->slotReleased) {
        return; // the slot is released already; the rest of the response follows
    }
    if (admission->cancel(attempt->id)) {
        finishWork(work, { Verdict::NotRun, "cancelled", false, 0ms });
    } else {
        failWork(work, AnswerKind::Cancelled);
    }
}

void ModelNode::refuse(const Refusal &refusal)
{
    const auto work = m_work.at(refusal.id);
    m_work.erase(refusal.id);
    const Reply answer{ refusal.verdict, refusal.message, false, refusal.retryAfter };
    finishIdempotent(work->attempt->call, answer);
    reply(work->attempt, answer);
}

void ModelNode::finishIdempotent(const Call &call, const Reply &answer)
{
    if (call.idempotencyKey.empty()) {
        return;
    }
    const auto waiters = answer.verdict == Verdict::Ran ? table->complete(idOf(call), { 200, {}, answer.body })
                                                        : table->abandon(idOf(call), answer.verdict);
    for (const auto waiter : waiters) {
        const auto attempt = m_waiters.at(waiter);
        m_waiters.erase(waiter);
        reply(attempt, answer);
    }
}

void ModelNode::reply(const AttemptPtr &attempt, const Reply &answer)
{
    if (const auto delay = m_environment.messageDelay()) {
        m_simulator.after(*delay, [attempt, answer] { attempt->onReply(answer); });
    }
}

void ModelNode::pollAdmission()
{
    const auto result = admission->poll();
    for (const auto &it : result.refusals) {
        refuse(it);
    }
    for (const auto &it : result.starts) {
        start(it);
    }
    TOUCANDECK_ASSERT(admission->inFlight() <= m_policies.admission.limits.slots, "the requests in flight never exceed the slots");
    const auto next = admission->nextWakeup();
    if (next && *next != TimePoint::max() && (!m_wakeup || *next < *m_wakeup || *m_wakeup <= m_simulator.now())) {
        m_wakeup = next;
        afterIfAlive(std::max<Duration>(*next - m_simulator.now(), 10us), [this] { pollAdmission(); });
    }
}

void ModelNode::crash()
{
    alive = false;
    ++m_incarnation;
    m_work.clear();
    m_waiters.clear();
    m_wakeup.reset();
}

void ModelNode::restart(bool cold)
{
    createState();
    alive = true;
    admission->setState(state);
    if (cold) {
        backend.turnCold();
        admission->setCold(true);
    }
}

void ModelNode::setState(ServingState newState)
{
    state = newState;
    admission->setState(newState);
    pollAdmission();
}

} // namespace Toucandeck::Model
