#include "scenario.h"

#include "model_forwarder.h"
#include "model_node.h"

#include <algorithm>

namespace Toucandeck::Bench
{

using namespace Model;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned kInstances = 4;
constexpr auto kWarmUp = 1s; // excluded from the measurement

class Run : public Environment
{
public:
    Run(std::uint64_t seed, const Scenario &scenario, const Policies &policies)
        : m_scenario(scenario)
        , m_simulator(seed)
    {
        for (unsigned n = 0; n < kInstances; ++n) {
            m_nodes.push_back(std::make_unique<ModelNode>(0, n, policies, m_simulator, *this));
            m_forwarders.push_back(std::make_unique<ModelForwarder>(n, policies, m_simulator, *this));
            m_forwarders.back()->reportFault = scenario.wrongReports ? 2 : 0;
        }
        m_start = m_simulator.now();
    }

    Measurement measure()
    {
        sendRequest();
        startPhase();
        if (m_scenario.cold != Scenario::Cold::Never) {
            m_simulator.after(m_scenario.length / 4, [this] { turnCold(); });
        }
        m_simulator.runUntil(m_start + m_scenario.length + m_scenario.deadline);
        return summary();
    }

    ModelNode *ownerOf(const Call & /*call*/) override
    {
        return nullptr;
    }
    WallTime unknownBefore(const Call & /*call*/) override
    {
        return {};
    }
    std::vector<ModelNode *> nodesOf(unsigned /*service*/) override
    {
        std::vector<ModelNode *> nodes;
        for (const auto &it : m_nodes) {
            nodes.push_back(it.get());
        }
        return nodes;
    }
    void onExecutionStarted(const ModelNode & /*node*/, Attempt & /*attempt*/) override
    {
    }
    void onExecutionFinished(const ModelNode & /*node*/, const Attempt & /*attempt*/, Duration /*wait*/) override
    {
    }
    void onReplyReceived(Attempt & /*attempt*/, const Reply & /*reply*/) override
    {
    }
    std::optional<Call> nestedCall(const Call & /*outer*/) override
    {
        return std::nullopt;
    }
    std::optional<Duration> messageDelay() override
    {
        return m_simulator.between(500us, 4ms);
    }
    bool breaksConnection() override
    {
        return false;
    }

private:
    void sendRequest()
    {
        if (m_simulator.now() - m_start >= m_scenario.length) {
            return;
        }
        const auto mean = std::chrono::duration<double>(1 / m_scenario.requestsPerSecond);
        m_simulator.after(m_simulator.exponential(std::chrono::duration_cast<Duration>(mean)), [this] { sendRequest(); });
        Call call;
        call.id = nextUniqueId();
        const auto draw = m_simulator.random.unit();
        call.depth = !m_scenario.nested || draw < 0.67 ? 0 : draw < 0.87 ? 1 : draw < 0.95 ? 2 : 3;
        call.nested = call.depth > 0;
        call.deadline = m_simulator.now() + m_scenario.deadline;
        const auto sent = m_simulator.now();
        auto &forwarder = *m_forwarders[m_simulator.random.below(kInstances)];
        forwarder.handle(call, [this, sent](const Reply &reply) { onAnswer(sent, reply.verdict == Verdict::Ran); });
    }

    void onAnswer(TimePoint sent, bool ok)
    {
        if (sent - m_start < kWarmUp) {
            return;
        }
        const std::chrono::duration<double, std::milli> latency = ok ? m_simulator.now() - sent : m_scenario.deadline;
        m_latencies.push_back(latency.count());
        m_successes += ok ? 1 : 0;
    }

    void startPhase()
    {
        auto &slow = *m_nodes[m_simulator.random.below(kInstances)];
        slow.backend.slowFactor = m_scenario.stragglers ? 5 : 1;
        for (const auto &it : m_nodes) {
            it->backend.thrashAbove = m_scenario.thrashing ? 5 : 0;
        }
        m_simulator.after(2s, [this, &slow] {
            slow.backend.slowFactor = 1;
            for (const auto &it : m_nodes) {
                it->backend.thrashAbove = 0;
            }
        });
        m_simulator.after(4s, [this] { startPhase(); });
    }

    void turnCold()
    {
        auto &node = *m_nodes[1];
        if (m_scenario.cold == Scenario::Cold::Unannounced) {
            node.backend.turnCold();
            return;
        }
        // Requests sent before the announcement reach the backend server while it is still warm.
        node.admission->setCold(true);
        m_simulator.after(5ms, [&node] { node.backend.turnCold(); });
    }

    Measurement summary()
    {
        Measurement result;
        const auto quantile = [this](double q) {
            const auto place = m_latencies.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(m_latencies.size() - 1));
            std::nth_element(m_latencies.begin(), place, m_latencies.end());
            return *place;
        };
        result.p50 = quantile(0.5);
        result.p99 = quantile(0.99);
        result.p999 = quantile(0.999);
        std::uint64_t requests = 0;
        std::uint64_t attempts = 0;
        for (const auto &it : m_forwarders) {
            requests += it->requests;
            attempts += it->attempts;
        }
        result.attemptsPerRequest = static_cast<double>(attempts) / static_cast<double>(requests);
        result.goodput = m_successes / std::chrono::duration<double>(m_scenario.length - kWarmUp).count();
        for (const auto &it : m_nodes) {
            result.shedAboveCapacity += static_cast<double>(it->backend.shedAboveCapacity);
        }
        return result;
    }

    Scenario m_scenario;
    Simulator m_simulator;
    std::vector<std::unique_ptr<ModelNode>> m_nodes;
    std::vector<std::unique_ptr<ModelForwarder>> m_forwarders;
    TimePoint m_start;
    std::vector<double> m_latencies;
    double m_successes = 0;
};

} // namespace

Measurement runScenario(std::uint64_t seed, const Scenario &scenario, const Policies &policies)
{
    return Run(seed, scenario, policies).measure();
}

Spread spreadOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return { values[values.size() / 2], values.front(), values.back() };
}

} // namespace Toucandeck::Bench
