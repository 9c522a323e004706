#pragma once

#include "model_front.h"
#include "model_node.h"

#include <array>
#include <set>

namespace Toucandeck::Model
{

constexpr unsigned kServices = 2;
constexpr unsigned kDomains = 3; ///< Each holds one instance of each service.
constexpr std::uint32_t kPartitionCount = 8;

/// Two services that call each other, their partitions, and the checks.
class World : public Environment
{
public:
    explicit World(std::uint64_t seed);
    ~World() override;

    ModelNode *ownerOf(const Call &call) override;
    WallTime unknownBefore(const Call &call) override;
    std::vector<ModelNode *> nodesOf(unsigned service) override;
    void executing(const ModelNode &node, Attempt &attempt) override;
    void finishedAt(const ModelNode &node, const Attempt &attempt, Duration wait) override;
    void replied(Attempt &attempt, const Reply &reply) override;
    std::optional<Call> nestedCall(const Call &outer) override;
    std::optional<Duration> delay() override;
    bool breaksConnection() override;

    ModelNode &node(unsigned service, unsigned domain);
    ModelFront &anyFront();

    /// Moves the partitions of a node to another one with their records.
    void movePartitions(ModelNode &from);
    /// The router is lost; its partitions are granted to others after the lease.
    void crash(ModelNode &node);

    /// The caller got this outcome for its call.
    void outcome(const Call &call, const Reply &reply);
    void violation(const std::string &name);
    /// Begins the checks that run at intervals.
    void watch();
    /// No crash and no lost message can be the cause of an unanswered request now.
    bool isQuiet() const;
    void disturb();

    Simulator simulator;
    Policies policies;
    std::map<std::string, std::uint64_t> faults;
    std::map<std::string, std::uint64_t> violations;
    std::map<std::string, std::uint64_t> counts;
    /// Requests that a backend server may shed because it turned cold unannounced.
    std::uint64_t allowedSheds = 0;
    double lossShare = 0;

private:
    struct Partition
    {
        ModelNode *owner = nullptr;
        WallTime unknownBefore{};
    };

    Partition &partitionOfCall(const Call &call);
    void finishMove(unsigned service, std::uint32_t number, ModelNode &from);
    void grantAfterCrash(unsigned service, std::uint32_t number);
    ModelNode *receiver(unsigned service, const ModelNode *except);
    void checkStalls();

    std::array<std::vector<std::unique_ptr<ModelNode>>, kServices> m_nodes;
    std::array<std::array<Partition, kPartitionCount>, kServices> m_partitions;
    std::vector<std::unique_ptr<ModelFront>> m_fronts;
    std::map<std::string, unsigned> m_executions;
    std::set<std::uint64_t> m_executedCalls;
    std::set<std::uint64_t> m_notRunCalls;
    std::map<const ModelNode *, TimePoint> m_idle;
    TimePoint m_disturbed;
};

/// Injects faults at random.
void scheduleFaults(World &world);
/// Sends reads, status checks and submissions.
void scheduleTraffic(World &world);

} // namespace Toucandeck::Model
