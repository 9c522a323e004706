#pragma once

#include "admission/admission_controller.h"
#include "admission/idempotency_table.h"
#include "daemon/backend_presence.h"
#include "daemon/forward_messages.h"
#include "daemon/router_parts.h"
#include "ownership/router_agent.h"
#include "routing/hot_key_sketch.h"
#include "runtime/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace Toucandeck
{

/// Names a request at the router beside the backend server: the sending process and its request id.
struct ForwardId
{
    std::string sender; ///< Empty: this process.
    std::uint64_t request = 0;

    bool operator<(const ForwardId &other) const
    {
        return std::tie(sender, request) < std::tie(other.sender, other.request);
    }
};

/// Owner's side of the request path: takes forwarded requests through ownership, idempotency records and admission to the backend
/// server beside this router. Each request gets exactly one reply, unless it is cancelled.
class RequestExecutor
{
public:
    using Reply = std::function<void(wire::ForwardReply)>;

    RequestExecutor(const RouterParts &parts, RouterAgent &agent, const BackendPresence &presence, std::function<void()> onRefused);
    ~RequestExecutor();
    RequestExecutor(const RequestExecutor &) = delete;
    RequestExecutor &operator=(const RequestExecutor &) = delete;

    /// @param reply may be called from within this call.
    void execute(const ForwardId &id, const wire::ForwardRequest &request, Reply reply);

    /// The caller is gone; there will be no reply. Work with an idempotency record goes on once it runs, so that a resent request
    /// gets its answer. Returns what is known about the request.
    Verdict cancel(const ForwardId &id);

    /// Cancels everything at the backend server; what may have run gets may-have-run.
    void leaseLost();

    /// Takes over limits and state from the table and the announcement.
    void updateLimits();
    /// Time has passed: starts or refuses queued requests.
    void poll();

    /// Whether no request for these items is under way. Queued ones are refused, so that their callers find the new owner.
    bool drain(const OwnedItems &items);

    IdempotencyTable &records();
    AgentLoad load();
    bool isIdle() const;
    const AdmissionController &admission() const;

private:
    struct Work;
    using WorkPtr = std::shared_ptr<Work>;

    void begin(const WorkPtr &work);
    bool checkOwnership(const WorkPtr &work);
    bool beginRecord(const WorkPtr &work);
    void offer(const WorkPtr &work);
    void dispatch(const WorkPtr &work);
    HttpRequest backendRequest(Work &work) const;
    void addGrant(const Work &work, HttpHeaders &headers) const;
    void timedOut(const WorkPtr &work);
    void answered(const WorkPtr &work, HttpResult result);
    void endSlot(const WorkPtr &work, AnswerKind kind, bool connectionKept);
    void finish(const WorkPtr &work, wire::ForwardReply reply);
    void endRecord(const WorkPtr &work, const wire::ForwardReply &reply);
    Verdict cancelRunning(const WorkPtr &work);
    void pollSoon();
    void matchConnections();
    std::size_t runningRequests() const;
    void refuse(const Refusal &refusal);
    void scheduleWakeup();

    RouterParts m_parts;
    RouterAgent &m_agent;
    const BackendPresence &m_presence;
    std::function<void()> m_onRefused;
    HttpClient m_client;
    IdempotencyTable m_records;
    AdmissionController m_admission;
    HotKeySketch m_hotKeys;
    std::optional<BackendLimits> m_limits;
    std::uint64_t m_nextWork = 1;
    std::map<std::uint64_t, WorkPtr> m_work;
    std::map<ForwardId, std::uint64_t> m_ids;
    EventLoop::Watch m_wakeup;
    bool m_pollScheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    prometheus::Counter &m_executed;
    prometheus::Counter &m_cancelled;
    prometheus::Histogram &m_seconds;
};

} // namespace Toucandeck
