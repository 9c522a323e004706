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

/// Identifies a request at the router that executes it: the sending process and its request id.
struct ForwardId
{
    std::string sender; ///< Empty: this process.
    std::uint64_t request = 0;

    bool operator<(const ForwardId &other) const
    {
        return std::tie(sender, request) < std::tie(other.sender, other.request);
    }
};

/// Owner's side of the request path: checks ownership, idempotency records and admission of forwarded requests and sends them to the
/// backend server on the same VM. Each request gets exactly one reply, unless it is cancelled.
class RequestExecutor
{
public:
    using ReplyCallback = std::function<void(wire::ForwardReply)>;

    RequestExecutor(const RouterParts &parts,
                    RouterAgent &agent,
                    const BackendPresence &presence,
                    std::function<void()> onConnectionRefused);
    ~RequestExecutor();
    RequestExecutor(const RequestExecutor &) = delete;
    RequestExecutor &operator=(const RequestExecutor &) = delete;

    /// @param reply may be called from within this call.
    void execute(const ForwardId &id, const wire::ForwardRequest &request, ReplyCallback reply);

    /// Cancels a request whose caller no longer waits; its reply callback is not called. A running request with an idempotency record
    /// continues, so that a resent request gets its answer. Returns the verdict as far as it is known.
    Verdict cancel(const ForwardId &id);

    /// Cancels the running requests, with the verdict may-have-run if they may have been written, and refuses the queued ones.
    void onLeaseLost();

    /// Applies limits and state from the table and the latest announcement to the admission controller.
    void updateLimits();
    /// Starts queued requests that have a slot now and refuses those that can no longer be served in time.
    void poll();

    /// Refuses the queued requests for these items, so that their callers find the new owner. Returns true if no other request for them
    /// is in progress.
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
    void submitForAdmission(const WorkPtr &work);
    void dispatch(const WorkPtr &work);
    HttpRequest backendRequest(Work &work) const;
    void addGrant(const Work &work, HttpHeaders &headers) const;
    void onDeadlinePassed(const WorkPtr &work);
    void onBackendResult(const WorkPtr &work, HttpResult result);
    void releaseSlot(const WorkPtr &work, AnswerKind kind, bool connectionKept);
    void finish(const WorkPtr &work, wire::ForwardReply reply);
    void completeRecord(const WorkPtr &work, const wire::ForwardReply &reply);
    Verdict cancelRunning(const WorkPtr &work);
    void schedulePoll();
    void reconcileConnections();
    std::size_t runningRequests() const;
    void refuse(const Refusal &refusal);
    void scheduleWakeup();

    RouterParts m_parts;
    RouterAgent &m_agent;
    const BackendPresence &m_presence;
    std::function<void()> m_onConnectionRefused;
    HttpClient m_client;
    IdempotencyTable m_records;
    AdmissionController m_admission;
    HotKeySketch m_hotKeys;
    std::optional<BackendLimits> m_limits;
    std::uint64_t m_nextWorkId = 1;
    std::map<std::uint64_t, WorkPtr> m_work;
    std::map<ForwardId, std::uint64_t> m_workIds;
    EventLoop::Watch m_wakeup;
    bool m_pollScheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    prometheus::Counter &m_executedCounter;
    prometheus::Counter &m_cancelledCounter;
    prometheus::Histogram &m_backendSeconds;
};

} // namespace Toucandeck
