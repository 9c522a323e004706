#pragma once

#include "gateway/call_port.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_chooser.h"
#include "gateway/load_board.h"
#include "routing/retry_budget.h"

#include "log/logger.h"
#include "runtime/event_loop.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace Toucandeck
{

/// How a route lets its requests be attempted.
struct AttemptTerms
{
    bool idempotent = false;
    std::uint32_t maxAttempts = 1; ///< Backend servers that the request may reach.
};

/// What became of a request at all gateways that it was sent to.
struct RoutedResult
{
    CallResult result; ///< Of the last attempt; MAY_HAVE_RUN if any attempt may have run and none was answered.
    std::uint32_t attempts = 0; ///< Gateways asked.
    std::uint32_t reached = 0; ///< Backend servers that the request was sent to.
    std::string gateway; ///< The last one asked.
};

/// What the attempts of this gateway share.
struct CallRouterParts
{
    EventLoop &loop;
    Logger &logger;
    RandomSource &random;
    CallPort &port;
    const FleetView &view;
    const GatewayChooser &chooser;
};

/// Finds a gateway for each call and, where that is safe, another one after a refusal or a failure.
class CallRouter
{
public:
    using Done = std::function<void(RoutedResult)>;

    CallRouter(const CallRouterParts &parts, std::string ownDomain, double retryShare);
    ~CallRouter();

    /// Routes a call. The callback comes once, later, unless the call is cancelled first.
    std::uint64_t route(Call call, const AttemptTerms &terms, Done done);
    void cancel(std::uint64_t id);

    /// The view has changed: calls that wait for the holder of their key are tried again.
    void viewChanged();

    std::size_t pending() const;

private:
    struct Routed
    {
        Call call;
        AttemptTerms terms;
        Done done;
        TimePoint started;
        std::set<std::string> tried;
        std::uint32_t attempts = 0;
        std::uint32_t reached = 0;
        bool mayHaveRun = false;
        std::string gateway; ///< In use.
        std::uint64_t sentAs = 0; ///< Id at the port; zero while none is under way.
        bool waitsForHolder = false;
        EventLoop::Watch retry;
    };

    using Entry = std::shared_ptr<Routed>;

    void attempt(std::uint64_t id, const Entry &it);
    void attemptKeyed(std::uint64_t id, const Entry &it);
    void attemptAny(std::uint64_t id, const Entry &it);
    void sendTo(std::uint64_t id, const Entry &it, const std::string &ip);
    void onResult(std::uint64_t id, const Entry &it, CallResult result);
    void afterRefusal(std::uint64_t id, const Entry &it, CallResult result);
    void afterFailure(std::uint64_t id, const Entry &it, CallResult result);
    void waitForHolder(std::uint64_t id, const Entry &it, CallResult result);
    bool mayRepeat(const Routed &it) const;
    bool takeRepeat(const Routed &it);
    std::vector<const ListedGateway *> openGateways(const Routed &it) const;
    GatewayCandidate describe(const ListedGateway &gateway) const;
    void finish(std::uint64_t id, const Entry &it, CallResult result);

    CallRouterParts m_parts;
    std::string m_ownDomain;
    double m_retryShare;
    LoadBoard m_loads;
    std::map<std::string, RetryBudget> m_budgets; ///< By service.
    std::unordered_map<std::uint64_t, Entry> m_routed;
    std::uint64_t m_nextId = 1;
};

} // namespace Toucandeck
