#pragma once

#include "model_forwarder.h"
#include "model_node.h"

#include <array>
#include <set>

namespace Toucandeck::Model
{

constexpr unsigned kServices = 2;
constexpr unsigned kDomains = 3; ///< Failure domains, each with one instance of each service.
constexpr std::uint32_t kPartitionCount = 8;

/// Model of two services that call each other, with the ownership of their partitions and the invariants that are checked.
class ModelCluster : public Environment
{
public:
    explicit ModelCluster(std::uint64_t seed);
    ~ModelCluster() override;

    ModelNode *ownerOf(const Call &call) override;
    WallTime unknownBefore(const Call &call) override;
    std::vector<ModelNode *> nodesOf(unsigned service) override;
    void onExecutionStarted(const ModelNode &node, Attempt &attempt) override;
    void onExecutionFinished(const ModelNode &node, const Attempt &attempt, Duration wait) override;
    void onReplyReceived(Attempt &attempt, const Reply &reply) override;
    std::optional<Call> nestedCall(const Call &outer) override;
    std::optional<Duration> messageDelay() override;
    bool breaksConnection() override;

    ModelNode &node(unsigned service, unsigned domain);
    /// Router of a random failure domain that receives requests from outside the services.
    ModelForwarder &randomForwarder();

    /// Hands over the partitions of a node, with their idempotency records, to other nodes.
    void movePartitions(ModelNode &from);
    /// Crashes the router of a node; its partitions are granted to other nodes when the lease has expired.
    void crash(ModelNode &node);

    /// Handles the outcome that the caller received for its call.
    void onOutcome(const Call &call, const Reply &reply);
    /// Counts a violated invariant under its name.
    void violation(const std::string &name);
    /// Starts the periodic checks.
    void scheduleChecks();
    /// Whether no recent crash or message loss can explain an unanswered request.
    bool isUndisturbed() const;
    /// Records the time of a crash or of the end of message loss; see isUndisturbed().
    void recordDisturbance();

    Simulator simulator;
    Policies policies;
    std::map<std::string, std::uint64_t> faults;
    std::map<std::string, std::uint64_t> violations;
    std::map<std::string, std::uint64_t> counts;
    /// Number of requests that backend servers may shed because they turned cold unannounced.
    std::uint64_t allowedSheds = 0;
    double lossProbability = 0; ///< Probability that a message is lost.

private:
    struct Partition
    {
        ModelNode *owner = nullptr;
        WallTime unknownBefore{};
    };

    Partition &partitionOfCall(const Call &call);
    void finishMove(unsigned service, std::uint32_t number, ModelNode &from);
    void grantAfterCrash(unsigned service, std::uint32_t number);
    /// Random serving node of a service other than @p except; null if there is none.
    ModelNode *randomServingNode(unsigned service, const ModelNode *except);
    void checkStalls();

    std::array<std::vector<std::unique_ptr<ModelNode>>, kServices> m_nodes;
    std::array<std::array<Partition, kPartitionCount>, kServices> m_partitions;
    std::vector<std::unique_ptr<ModelForwarder>> m_forwarders;
    std::map<std::string, unsigned> m_executions;
    std::set<std::uint64_t> m_executedCalls;
    std::set<std::uint64_t> m_notRunCalls;
    std::map<const ModelNode *, TimePoint> m_lastIdle;
    TimePoint m_lastDisturbance;
};

/// Schedules random faults for the whole run.
void scheduleFaults(ModelCluster &cluster);
/// Schedules reads, submissions, work without an idempotency key and status checks for the whole run.
void scheduleTraffic(ModelCluster &cluster);

} // namespace Toucandeck::Model
