#pragma once

#include "model_backend.h"
#include "model_call.h"

#include <unordered_map>

namespace Toucandeck::Model
{

class ModelForwarder;

/// Model of a router and its local backend server: idempotency records, admission and execution.
class ModelNode
{
public:
    ModelNode(unsigned serviceNumber, unsigned domain, const Policies &policies, Simulator &simulator, Environment &environment);
    ~ModelNode();

    /// Handles an attempt that a router sent to this node.
    void receive(const AttemptPtr &attempt);
    /// Handles the cancellation of an attempt by the sending router.
    void cancel(const AttemptPtr &attempt);

    /// Crashes the router, which loses its queue, slots and records. Requests at the backend server run on without a reply.
    void crash();
    void restart(bool cold);
    void setState(ServingState state);

    /// Polls the admission controller and schedules its next wakeup. Must be called after each change of the controller.
    void pollAdmission();

    const unsigned service;
    const unsigned index;
    bool alive = true;
    ServingState state = ServingState::Serving;
    ModelBackend backend;
    std::unique_ptr<AdmissionController> admission;
    std::unique_ptr<IdempotencyTable> table;
    std::unique_ptr<ModelForwarder> forwarder; ///< Forwards the calls that the backend server makes.
    TimePoint lastFinish; ///< When the last request was answered, or the router started.

private:
    /// Attempt that is queued or being executed.
    struct Work
    {
        AttemptPtr attempt;
        TimePoint arrivalTime;
        TimePoint startTime;
        bool atBackend = false;
        bool slotReleased = false; ///< Whether the controller was notified of its end.
    };
    using WorkPtr = std::shared_ptr<Work>;

    bool beginIdempotent(const AttemptPtr &attempt);
    IdempotencyId idOf(const Call &call) const;
    void createState();
    void start(const Start &start);
    void execute(const WorkPtr &work);
    void callNested(const WorkPtr &work);
    void answer(const WorkPtr &work);
    void releaseSlot(const WorkPtr &work, AnswerKind kind, bool connectionKept);
    void finishWork(const WorkPtr &work, const Reply &answer);
    void refuse(const Refusal &refusal);
    void failWork(const WorkPtr &work, AnswerKind kind);
    void reply(const AttemptPtr &attempt, const Reply &answer);
    void finishIdempotent(const Call &call, const Reply &answer);
    /// Runs the action after a delay unless the router has crashed meanwhile.
    void afterIfAlive(Duration delay, std::function<void()> action);

    const Policies &m_policies;
    Simulator &m_simulator;
    Environment &m_environment;
    NullLogger m_logger;
    std::unordered_map<std::uint64_t, WorkPtr> m_work;
    std::unordered_map<std::uint64_t, AttemptPtr> m_waiters; ///< Duplicates that wait for the outcome of a running request.
    std::uint64_t m_incarnation = 0;
    std::optional<TimePoint> m_wakeup;
};

} // namespace Toucandeck::Model
