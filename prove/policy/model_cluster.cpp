#include "model_cluster.h"

namespace Toucandeck::Model
{

using namespace std::chrono_literals;

namespace
{

constexpr auto kOwnerReplacementTime = 641ms; // from the crash of an owner to the next grant, docs/design.md 3.4
// Service times are at most 16 ms, or 80 ms at a straggler, and a nested call waits in one queue per depth.
constexpr auto kMaxNodeStall = 600ms;
// While one node has crashed and another is cold, a call at depth 1 occupies the only slot of its depth for up to three attempts
// of 60 ms at a cold node at depth 2, and for as long again at depth 3.
constexpr auto kMaxServiceStall = 400ms;
constexpr auto kQuietPeriod = 1200ms; // a status check sent just before the session expires at 641 ms may time out 500 ms later
constexpr auto kMaxDeepestCallWait = 250ms;
constexpr auto kRetention = 10s; // short, so that records expire during a run

} // namespace

ModelCluster::ModelCluster(std::uint64_t seed)
    : simulator(seed)
    , policies(daemonPolicies())
    , m_lastDisturbance(simulator.now())
{
    policies.idempotency.retention = kRetention;
    for (unsigned service = 0; service < kServices; ++service) {
        for (unsigned domain = 0; domain < kDomains; ++domain) {
            m_nodes[service].push_back(std::make_unique<ModelNode>(service, domain, policies, simulator, *this));
        }
        for (std::uint32_t it = 0; it < kPartitionCount; ++it) {
            m_partitions[service][it].owner = m_nodes[service][it % kDomains].get();
        }
    }
    for (unsigned domain = 0; domain < kDomains; ++domain) {
        m_forwarders.push_back(std::make_unique<ModelForwarder>(domain, policies, simulator, *this));
    }
}

ModelCluster::~ModelCluster() = default;

ModelNode &ModelCluster::node(unsigned service, unsigned domain)
{
    return *m_nodes[service][domain];
}

ModelForwarder &ModelCluster::randomForwarder()
{
    return *m_forwarders[simulator.random.below(m_forwarders.size())];
}

ModelCluster::Partition &ModelCluster::partitionOfCall(const Call &call)
{
    return m_partitions[call.service][partitionOf(KeyHash{ call.key }, kPartitionCount).value];
}

ModelNode *ModelCluster::ownerOf(const Call &call)
{
    return partitionOfCall(call).owner;
}

WallTime ModelCluster::unknownBefore(const Call &call)
{
    return partitionOfCall(call).unknownBefore;
}

std::vector<ModelNode *> ModelCluster::nodesOf(unsigned service)
{
    std::vector<ModelNode *> nodes;
    for (const auto &it : m_nodes[service]) {
        nodes.push_back(it.get());
    }
    return nodes;
}

void ModelCluster::violation(const std::string &name)
{
    ++violations[name];
}

void ModelCluster::onExecutionStarted(const ModelNode &node, Attempt &attempt)
{
    attempt.executed = true;
    ++counts["executions"];
    if (attempt.reportedNotRun) {
        violation("not_run_then_executed");
    }
    if (node.backend.slotsExceeded) {
        violation("slots_exceeded");
    }
    if (attempt.call.method != "POST") {
        return;
    }
    const auto &key = attempt.call.idempotencyKey;
    if (++m_executions[key.empty() ? "call " + std::to_string(attempt.call.id) : key] > 1) {
        violation("doubled");
    }
    m_executedCalls.insert(attempt.call.id);
    if (m_notRunCalls.contains(attempt.call.id)) {
        violation("not_run_then_executed");
    }
}

void ModelCluster::onExecutionFinished(const ModelNode & /*node*/, const Attempt &attempt, Duration wait)
{
    if (attempt.call.depth == kMaxDepth && wait > kMaxDeepestCallWait) {
        violation("deepest_call_waited");
    }
}

void ModelCluster::onReplyReceived(Attempt &attempt, const Reply &reply)
{
    if (reply.verdict == Verdict::NotRun) {
        attempt.reportedNotRun = true;
        if (attempt.executed) {
            violation("false_not_run");
        }
    }
}

void ModelCluster::onOutcome(const Call &call, const Reply &reply)
{
    ++counts[std::string(toString(reply.verdict))];
    if (simulator.now() > call.deadline) {
        violation("after_deadline");
    }
    if (call.method == "POST" && reply.verdict == Verdict::NotRun) {
        m_notRunCalls.insert(call.id);
        if (m_executedCalls.contains(call.id)) {
            violation("false_not_run");
        }
    }
}

std::optional<Call> ModelCluster::nestedCall(const Call &outer)
{
    if (outer.statusCheck || outer.depth == kMaxDepth || !simulator.chance(0.6)) {
        return std::nullopt;
    }
    Call call;
    call.id = nextUniqueId();
    call.service = 1 - outer.service;
    call.depth = outer.depth + 1;
    call.deadline = outer.deadline - 10ms;
    call.nested = true;
    call.statusCheck = simulator.chance(0.2);
    return call;
}

std::optional<Duration> ModelCluster::messageDelay()
{
    if (lossProbability > 0 && simulator.chance(lossProbability)) {
        ++faults["message_lost"];
        return std::nullopt;
    }
    return simulator.between(500us, 5ms);
}

bool ModelCluster::breaksConnection()
{
    const bool breaks = simulator.chance(0.002);
    faults["broken_connection"] += breaks ? 1 : 0;
    return breaks;
}

ModelNode *ModelCluster::randomServingNode(unsigned service, const ModelNode *except)
{
    const auto first = simulator.random.below(kDomains);
    for (unsigned n = 0; n < kDomains; ++n) {
        auto &it = node(service, static_cast<unsigned>((first + n) % kDomains));
        if (it.alive && it.state == ServingState::Serving && &it != except) {
            return &it;
        }
    }
    return nullptr;
}

void ModelCluster::movePartitions(ModelNode &from)
{
    for (std::uint32_t it = 0; it < kPartitionCount; ++it) {
        auto &partition = m_partitions[from.service][it];
        if (partition.owner == &from) {
            partition.owner = nullptr; // no new requests are admitted for the partition
            ++faults["move"];
            finishMove(from.service, it, from);
        }
    }
}

void ModelCluster::finishMove(unsigned service, std::uint32_t number, ModelNode &from)
{
    const std::array<PartitionId, 1> moved{ PartitionId{ number } };
    const auto name = std::to_string(service);
    if (!from.alive) {
        grantAfterCrash(service, number);
        return;
    }
    auto *to = randomServingNode(service, &from);
    if (to == nullptr || from.table->isRunning(name, moved[0])) {
        simulator.after(2ms, [this, service, number, &from] { finishMove(service, number, from); });
        return;
    }
    // Serialises the records in the wire format, as the daemon does.
    const auto records = from.table->exportRecords(name, moved);
    simulator.after(simulator.between(1ms, 5ms), [this, service, number, &from, to, records, name] {
        if (!to->alive || !from.alive) {
            grantAfterCrash(service, number);
            return;
        }
        to->table->importRecords(records, kPartitionCount);
        from.table->drop(name, std::array<PartitionId, 1>{ PartitionId{ number } });
        m_partitions[service][number].owner = to;
    });
}

void ModelCluster::crash(ModelNode &node)
{
    ++faults["owner_crash"];
    node.crash();
    recordDisturbance();
    // The other routers detect the crash when the session expires.
    simulator.after(kOwnerReplacementTime, [&node] { node.state = ServingState::Out; });
    for (std::uint32_t it = 0; it < kPartitionCount; ++it) {
        auto &partition = m_partitions[node.service][it];
        if (partition.owner == &node) {
            partition.owner = nullptr;
            grantAfterCrash(node.service, it);
        }
    }
}

void ModelCluster::grantAfterCrash(unsigned service, std::uint32_t number)
{
    simulator.after(kOwnerReplacementTime, [this, service, number] {
        auto *to = randomServingNode(service, nullptr);
        if (to == nullptr) {
            grantAfterCrash(service, number);
            return;
        }
        auto &partition = m_partitions[service][number];
        partition.owner = to;
        partition.unknownBefore = outcomeUnknownUntilAfterCrash(simulator.clock.wallNow());
    });
}

void ModelCluster::recordDisturbance()
{
    m_lastDisturbance = simulator.now();
}

bool ModelCluster::isUndisturbed() const
{
    return simulator.now() - m_lastDisturbance > kQuietPeriod && lossProbability == 0;
}

void ModelCluster::scheduleChecks()
{
    checkStalls();
    simulator.after(20ms, [this] { scheduleChecks(); });
}

void ModelCluster::checkStalls()
{
    std::uint64_t shedRequests = 0;
    for (const auto &nodes : m_nodes) {
        bool anyAlive = false;
        TimePoint lastFinish;
        for (const auto &it : nodes) {
            shedRequests += it->backend.shedAboveCapacity;
            auto &lastIdle = m_lastIdle[it.get()];
            // A cold node has fewer slots than depths and a leaving node is sent no new requests, so all of their few requests may
            // wait for an overloaded service.
            const bool hasSlotPerDepth = it->alive && it->state == ServingState::Serving && it->admission->currentLimit() > kMaxDepth;
            if (!hasSlotPerDepth || it->admission->inFlight() == 0) {
                lastIdle = simulator.now();
            }
            anyAlive = anyAlive || it->alive;
            lastFinish = std::max(lastFinish, it->lastFinish);
            if (simulator.now() - std::max(lastIdle, it->lastFinish) > kMaxNodeStall) {
                violation("node_stall");
            }
        }
        if (anyAlive && simulator.now() - lastFinish > kMaxServiceStall) {
            violation("service_stall");
        }
    }
    if (shedRequests > allowedSheds) {
        violation("shed_by_cold_server");
        allowedSheds = shedRequests;
    }
}

} // namespace Toucandeck::Model
