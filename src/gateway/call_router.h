#pragma once

#include "gateway/call_port.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_chooser.h"
#include "gateway/gateway_loads.h"
#include "gateway/gateway_selector.h"
#include "gateway/nested_calls.h"
#include "gateway/reference_work.h"
#include "gateway/routing_counters.h"
#include "routing/retry_budget.h"

#include "log/logger.h"
#include "runtime/event_loop.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace Toucandeck
{

/// Rules of a route for the attempts of its requests.
struct AttemptPolicy
{
    bool idempotent = false;
    std::uint32_t maxAttempts = 1; ///< Maximum number of backend servers that the request may reach.
};

/// Outcome of a request over all its attempts.
struct RoutedResult
{
    CallResult result; ///< Result of the last attempt; MAY_HAVE_RUN if any attempt may have run and none was answered.
    std::uint32_t attempts = 0; ///< Number of attempts, each at one gateway.
    std::uint32_t reachedBackends = 0; ///< Number of backend servers that the request was sent to.
    std::string gateway; ///< IP address of the gateway of the last attempt.
};

/// Dependencies of a call router. All must outlive it.
struct CallRouterParts
{
    EventLoop &loop;
    Logger &logger;
    RandomSource &random;
    CallPort &port;
    const FleetView &view;
    const GatewayChooser &chooser;
    ReferenceWork *referenceWork = nullptr; ///< Learns the work of answered calls; may be null.
};

/// Chooses a gateway for each call and, where that is safe, retries at another one after a refusal or a failure.
class CallRouter
{
public:
    using Done = std::function<void(RoutedResult)>;

    /// @param retryShare is the number of retries per request that the budget allows.
    CallRouter(const CallRouterParts &parts,
               std::string ownDomain,
               double retryShare,
               Balancing balancing = Balancing::LeastTime,
               NestedCalls nestedCalls = NestedCalls::Independent);
    ~CallRouter();

    /// Routes a call. @p done is called once, after this returns, unless the call is cancelled first.
    /// @return the id for cancel().
    std::uint64_t route(Call call, const AttemptPolicy &policy, Done done);
    void cancel(std::uint64_t id);

    /// Handles a change of the view: retries the calls that wait for the holder of their key.
    void onViewChanged();

    /// Forgets the services for which @p isKnown is false, as far as no call to them is pending.
    void retainServices(const std::function<bool(const std::string &service)> &isKnown);
    /// Number of services of which something is kept.
    std::size_t serviceCount() const;

    std::size_t pendingCount() const;
    /// Number of retries of nested calls that were refused by all gateways asked before.
    std::uint64_t retriedNestedCalls() const;

    /// Reports of other backend servers of the service, to be passed on to the receiver of a reply. Empty unless balanced by capacity.
    std::vector<PeerReport> reportsFor(const std::string &service, const std::string &receiver) const;

    const RoutingCounters &counters() const;
    /// Longest recent transit time over all gateways.
    Duration longestTransitTime() const;

private:
    /// An attempt whose gateway sends nothing. It stays pending beside its retry, because it may still be answered.
    struct SilentAttempt
    {
        std::uint32_t number = 0;
        std::uint64_t callId = 0;
        std::string gateway;
        TimePoint sentAt;
    };

    struct RoutedCall
    {
        Call call;
        AttemptPolicy policy;
        Done done;
        TimePoint startedAt;
        std::set<std::string> triedGateways;
        std::uint32_t attempts = 0;
        std::uint32_t rounds = 1; ///< Number of rounds of attempts; a pause precedes each round after the first.
        std::uint32_t attemptsBefore = 0; ///< Attempts of earlier rounds.
        std::uint32_t reachedBackends = 0;
        bool mayHaveRun = false;
        std::string gateway; ///< IP address of the gateway of the current attempt.
        std::uint64_t callId = 0; ///< Id of the current attempt at the port; zero if there is none.
        TimePoint sentAt; ///< Of the current attempt.
        std::uint32_t redirections = 0; ///< Number of attempts that were refused since another backend server is expected to be faster.
        bool waitsForHolder = false;
        std::optional<SilentAttempt> silent;
        EventLoop::Watch retryTimer;
    };

    using RoutedCallPtr = std::shared_ptr<RoutedCall>;

    void attempt(std::uint64_t id, const RoutedCallPtr &it);
    void attemptKeyed(std::uint64_t id, const RoutedCallPtr &it);
    void attemptAny(std::uint64_t id, const RoutedCallPtr &it);
    void sendTo(std::uint64_t id, const RoutedCallPtr &it, const std::string &ip);
    void onResult(std::uint64_t id, const RoutedCallPtr &it, CallResult result);
    /// Handles the result of the attempt that is pending beside its retry.
    void onSilentResult(std::uint64_t id, const RoutedCallPtr &it, CallResult result);
    /// Retries a call whose gateway sends nothing, if that is safe.
    void onSilence(std::uint64_t callId);
    void recordResult(RoutedCall &it, const std::string &gateway, TimePoint sentAt, const CallResult &result);
    void onRefusal(std::uint64_t id, const RoutedCallPtr &it, CallResult result);
    void onFailure(std::uint64_t id, const RoutedCallPtr &it, CallResult result);
    /// Handles a refusal by the last gateway of a round: tries a nested call again after a pause, or finishes.
    void onRoundRefused(std::uint64_t id, const RoutedCallPtr &it, CallResult result);
    void startRound(std::uint64_t id, const RoutedCallPtr &it);
    void waitForHolder(std::uint64_t id, const RoutedCallPtr &it, CallResult result);
    bool isKeyed(const RoutedCall &it) const;
    bool mayRetry(const RoutedCall &it) const;
    void cancelAttempt(std::uint64_t callId, const std::string &gateway);
    void cancelSilentAttempt(RoutedCall &it);
    /// True if the request may be retried after it may have run; takes the retry from the budget.
    bool takeRetry(const RoutedCall &it);
    std::vector<const ListedGateway *> eligibleGateways(const RoutedCall &it) const;
    /// Records the reports that a reply passes on, of gateways that are listed.
    void recordPeerReports(const std::string &service, const CallResult &result);
    void finish(std::uint64_t id, const RoutedCallPtr &it, CallResult result);

    CallRouterParts m_parts;
    double m_retryShare;
    NestedCalls m_nestedCalls;
    GatewayLoads m_loads;
    GatewaySelector m_selector;
    RoutingCounters m_counters;
    std::map<std::string, RetryBudget> m_budgets; ///< By service.
    std::unordered_map<std::uint64_t, RoutedCallPtr> m_routedCalls;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_retriedNestedCalls = 0;
};

} // namespace Toucandeck
