#pragma once

#include "model_backend.h"
#include "model_call.h"

#include <unordered_map>

namespace Toucandeck::Model
{

class ModelFront;

/// A router with the backend server beside it: idempotency records, admission, execution.
class ModelNode
{
public:
    ModelNode(unsigned serviceNumber, unsigned domain, const Policies &policies, Simulator &simulator, Environment &environment);
    ~ModelNode();

    void receive(const AttemptPtr &attempt);
    /// The sending router closed the connection.
    void cancel(const AttemptPtr &attempt);

    /// Loses queue, slots and records. What runs at the backend server ends unnoticed.
    void crash();
    void restart(bool cold);
    void setState(ServingState state);

    /// Calls poll() and wakes up again when the controller asks for it. After each change of the controller.
    void pump();

    const unsigned service;
    const unsigned index;
    bool alive = true;
    ServingState state = ServingState::Serving;
    ModelBackend backend;
    std::unique_ptr<AdmissionController> admission;
    std::unique_ptr<IdempotencyTable> table;
    std::unique_ptr<ModelFront> front; ///< For the calls that the backend server makes.
    TimePoint lastFinish;

private:
    struct Work
    {
        AttemptPtr attempt;
        TimePoint arrived;
        TimePoint started;
        bool atBackend = false;
        bool slotFreed = false; ///< The controller counts it as finished.
    };
    using WorkPtr = std::shared_ptr<Work>;

    bool beginIdempotent(const AttemptPtr &attempt);
    IdempotencyId idOf(const Call &call) const;
    void create();
    void start(const Start &start);
    void execute(const WorkPtr &work);
    void callNested(const WorkPtr &work);
    void answer(const WorkPtr &work);
    void free(const WorkPtr &work, AnswerKind kind, bool kept);
    void end(const WorkPtr &work, const Reply &answer);
    void refuse(const Refusal &refusal);
    void fail(const WorkPtr &work, AnswerKind kind);
    void reply(const AttemptPtr &attempt, const Reply &answer);
    void endIdempotent(const Call &call, const Reply &answer);
    /// Runs the action unless the router has crashed by then.
    void afterIfAlive(Duration delay, std::function<void()> action);

    const Policies &m_policies;
    Simulator &m_simulator;
    Environment &m_environment;
    NullLogger m_logger;
    std::unordered_map<std::uint64_t, WorkPtr> m_work;
    std::unordered_map<std::uint64_t, AttemptPtr> m_waiters; ///< For the same work to end.
    std::uint64_t m_incarnation = 0;
    std::optional<TimePoint> m_wakeup;
};

} // namespace Toucandeck::Model
