#pragma once

#include "model_call.h"
#include "simulator.h"

#include <map>
#include <set>

namespace Toucandeck::Model
{

/// Forwarding side of a router: chooses the instance for a request, retries and hedges.
class ModelForwarder
{
public:
    ModelForwarder(unsigned domain, const Policies &policies, Simulator &simulator, Environment &environment);

    ~ModelForwarder();
    ModelForwarder(const ModelForwarder &) = delete;
    ModelForwarder &operator=(const ModelForwarder &) = delete;

    /// Forwards a call. @p done is called exactly once, no later than the deadline.
    void handle(const Call &call, std::function<void(const Reply &)> done);

    std::uint64_t requests = 0; ///< Number of calls.
    std::uint64_t attempts = 0; ///< Number of attempts, with retries and hedged ones.
    /// Fault in the load reports that this router uses: 0 none, 1 outdated, 2 inverted.
    unsigned reportFault = 0;

private:
    struct PendingRequest
    {
        Call call;
        std::function<void(const Reply &)> done;
        HedgedAttempts hedgedAttempts;
        std::vector<AttemptPtr> attempts;
        std::optional<std::size_t> firstNode;
        unsigned retries = 0;
        bool mayHaveRun = false;
        bool answered = false;
    };
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    /// Strategies and observed state of the instances of one service.
    struct Service
    {
        std::unique_ptr<InstanceChooser> chooser;
        std::unique_ptr<OutlierPolicy> outlier;
        std::unique_ptr<HedgePolicy> hedge;
        std::vector<LatencyWindow> latency;
        std::vector<unsigned> inFlight;
        std::vector<LoadReport> reports;
        std::vector<TimePoint> reportTimes;
    };

    Service &serviceOf(unsigned number);
    std::vector<Candidate> candidates(Service &service, const std::vector<ModelNode *> &nodes) const;
    bool send(const PendingRequestPtr &pending, bool isRetry);
    ModelNode *choose(const PendingRequestPtr &pending, bool mayProbe);
    void hedge(const PendingRequestPtr &pending);
    void onReply(const PendingRequestPtr &pending, const AttemptPtr &attempt, const Reply &reply);
    /// Records the end of an attempt. @p reply is null for a cancelled attempt.
    void settle(const AttemptPtr &attempt, const Reply *reply);
    void finish(const PendingRequestPtr &pending, const Reply &reply);
    void expire(const PendingRequestPtr &pending);
    void updateReport(Service &service, const ModelNode &node);

    unsigned m_domain;
    const Policies &m_policies;
    Simulator &m_simulator;
    Environment &m_environment;
    NullLogger m_logger;
    std::unique_ptr<RetryPolicy> m_retry;
    std::map<unsigned, Service> m_services;
    std::set<PendingRequestPtr> m_pendingRequests;
};

/// Returns an id that is unique among the calls and attempts of the process.
std::uint64_t nextUniqueId();

} // namespace Toucandeck::Model
