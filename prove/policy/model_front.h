#pragma once

#include "model_call.h"
#include "simulator.h"

#include <map>
#include <set>

namespace Toucandeck::Model
{

/// Router that received a request: chooses the instance, retries and hedges.
class ModelFront
{
public:
    ModelFront(unsigned domain, const Policies &policies, Simulator &simulator, Environment &environment);

    ~ModelFront();
    ModelFront(const ModelFront &) = delete;
    ModelFront &operator=(const ModelFront &) = delete;

    /// @p done is called exactly once, at the deadline at the latest.
    void handle(const Call &call, std::function<void(const Reply &)> done);

    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    /// Distorts the load reports of this router: 0 as they are, 1 late, 2 the opposite.
    unsigned reportFault = 0;

private:
    struct Pending
    {
        Call call;
        std::function<void(const Reply &)> done;
        HedgedAttempts race;
        std::vector<AttemptPtr> attempts;
        std::optional<std::size_t> firstNode;
        unsigned retries = 0;
        bool mayHaveRun = false;
        bool answered = false;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    /// The strategies and knowledge for the instances of one service.
    struct Service
    {
        std::unique_ptr<InstanceChooser> chooser;
        std::unique_ptr<OutlierPolicy> outlier;
        std::unique_ptr<HedgePolicy> hedge;
        std::vector<LatencyWindow> latency;
        std::vector<unsigned> inFlight;
        std::vector<LoadReport> reports;
        std::vector<TimePoint> reported;
    };

    Service &serviceOf(unsigned number);
    std::vector<Candidate> candidates(Service &service, const std::vector<ModelNode *> &nodes) const;
    bool send(const PendingPtr &pending, bool isRetry);
    ModelNode *choose(const PendingPtr &pending, bool mayProbe);
    void hedge(const PendingPtr &pending);
    void received(const PendingPtr &pending, const AttemptPtr &attempt, const Reply &reply);
    /// @p reply is null for an attempt that is given up.
    void settle(const AttemptPtr &attempt, const Reply *reply);
    void finish(const PendingPtr &pending, const Reply &reply);
    void expire(const PendingPtr &pending);
    void updateReport(Service &service, const ModelNode &node);

    unsigned m_domain;
    const Policies &m_policies;
    Simulator &m_simulator;
    Environment &m_environment;
    NullLogger m_logger;
    std::unique_ptr<RetryPolicy> m_retry;
    std::map<unsigned, Service> m_services;
    std::set<PendingPtr> m_open;
};

/// Id that no other attempt of the process has.
std::uint64_t nextAttemptId();

} // namespace Toucandeck::Model
