#pragma once

#include "daemon/forward_messages.h"
#include "daemon/instance_stats.h"
#include "daemon/request_executor.h"
#include "routing/hedge_policy.h"
#include "routing/instance_chooser.h"
#include "routing/request_headers.h"
#include "routing/retry_policy.h"
#include "runtime/http_server.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Toucandeck
{

/// Caller's side of the request path: accepts callers' HTTP requests, finds the owner or chooses an instance, forwards, retries and
/// hedges, and answers each request exactly once.
class RequestRouter
{
public:
    RequestRouter(const RouterParts &parts, RouterAgent &agent, RequestExecutor &executor);
    ~RequestRouter();
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter &operator=(const RequestRouter &) = delete;

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    /// Handles a reply of another router. Late replies are dropped and counted.
    void receive(const wire::ForwardReply &reply);
    /// Call when the view may have changed: retries the requests that wait for an owner or an instance, and fails the attempts at
    /// routers whose session has ended.
    void onViewChanged();
    /// Answers all pending requests, because the process ends. Each answer tells whether the request may have run.
    void answerPending();
    bool isIdle() const;
    std::size_t inFlight() const;

private:
    struct Call;
    struct Attempt;
    using CallPtr = std::shared_ptr<Call>;

    Result<void> prepare(Call &call);
    Result<void> readKey(Call &call, std::string_view path);
    void start(const CallPtr &call);
    void tryAttempt(const CallPtr &call);
    std::optional<SessionId> chooseTarget(Call &call, bool isHedge);
    std::optional<SessionId> chooseInstance(Call &call, bool isHedge);
    void send(const CallPtr &call, SessionId target);
    void waitForOwner(const CallPtr &call);
    void scheduleHedge(const CallPtr &call);
    void startHedge(const CallPtr &call);
    void finishAttempt(std::uint64_t id, const wire::ForwardReply &reply, bool replied);
    void retryOrAnswer(const CallPtr &call, const wire::ForwardReply &reply);
    void cancelAttempt(std::uint64_t id);
    void cancelAll(const CallPtr &call);
    void onDeadlinePassed(const CallPtr &call);
    void answer(const CallPtr &call, const wire::ForwardReply &reply);
    void removeCall(const CallPtr &call);

    RouterParts m_parts;
    RouterAgent &m_agent;
    RequestExecutor &m_executor;
    InstanceStats m_instanceStats;
    std::unique_ptr<InstanceChooser> m_chooser;
    std::unique_ptr<RetryPolicy> m_retryPolicy;
    std::unique_ptr<HedgePolicy> m_hedgePolicy;
    std::uint64_t m_nextAttemptId;
    std::set<CallPtr> m_calls;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    LogIndex m_lastViewVersion;
    prometheus::Histogram &m_requestSeconds;
    prometheus::Counter &m_lateReplyCount;
    prometheus::Counter &m_retryCount;
    prometheus::Counter &m_hedgeCount;
    prometheus::Counter &m_forwardCount;
    std::map<Verdict, prometheus::Counter *> m_answerCounters;
};

} // namespace Toucandeck
