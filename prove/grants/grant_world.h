#pragma once

#include "common/random_source.h"
#include "fleet/key_coordinator.h"
#include "gateway/local_instance.h"
#include "ownership/virtual_time.h"
#include "platform/key_holder.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Toucandeck::GrantRun
{

/// What happened in a run.
struct GrantCounts
{
    std::uint64_t grants = 0; ///< Calls that granted keys.
    std::uint64_t unanswered = 0; ///< Of these, those whose answer was lost.
    std::uint64_t late = 0; ///< Of these, those that were applied later.
    std::uint64_t releases = 0;
    std::uint64_t reported = 0; ///< Ranges that were reported as released.
    std::uint64_t assignments = 0; ///< Committed key tables.
    std::uint64_t crashes = 0;
    std::uint64_t gatewayRestarts = 0;
    std::uint64_t pauses = 0;
    std::uint64_t cuts = 0;
    std::uint64_t leaderLosses = 0;

    void add(const GrantCounts &other);
};

/// A leading controller, gateways and backend servers that are granted keys by calls, in virtual time, with calls that are lost, applied
/// late, applied twice or answered badly, processes that crash, and VMs that pause. Checks that no two backend servers use a key at the
/// same time and that fencing tokens grow.
class GrantWorld
{
public:
    explicit GrantWorld(std::uint64_t seed);
    ~GrantWorld();

    GrantWorld(const GrantWorld &) = delete;
    GrantWorld &operator=(const GrantWorld &) = delete;

    void run(Duration time);

    const GrantCounts &counts() const;
    const std::vector<std::string> &violations() const;
    /// Keys that were in use on average, as a share of all.
    double servedShare() const;

private:
    class Port;
    struct Node;

    void startProcess(Node &node);
    void startGateway(Node &node);
    void sendHeartbeat(Node &node);
    void announce(Node &node);
    void receiveAnnouncement(Node &node, const wire::Announce &announce, TimePoint sentAt);
    void tickCoordinator();
    void propose(const wire::KeyTable &table, const std::function<void(bool)> &done);
    void injectFault();
    void crash(Node &node);
    void measure();
    void applyGrant(Node &node, int process, const GrantCall &call, TimePoint arrival, const std::function<void(GrantOutcome)> &answer);
    void applyRelease(Node &node, int process, const ReleaseCall &call, const std::function<void()> &answer);
    void checkGrant(const Node &node, const GrantCall &call, TimePoint arrival);
    /// Runs the action at the node's gateway process, after any pause of its VM; not if the gateway has ended meanwhile.
    void atGateway(Node &node, Duration delay, std::function<void()> action);
    bool chance(double probability);
    Duration between(Duration least, Duration most);
    TimePoint now() const;
    std::vector<KeyHolder> holders();

    SeededRandom m_random;
    OwnershipRun::VirtualTime m_time;
    OwnershipRun::DriftingClock m_clock; ///< Of the controller; also real time.
    NullLogger m_logger;
    FleetState m_state;
    SlicePlanner m_planner;
    KeyCoordinator m_coordinator;
    std::vector<std::unique_ptr<Node>> m_nodes;
    Duration m_leaderless{}; ///< No controller leads until this time.
    double m_lossRate; ///< Share of calls without an answer.
    std::uint64_t m_index = 0;
    std::vector<std::uint64_t> m_highestToken; ///< By sample, of all backend servers.
    std::vector<std::string> m_lastHolder; ///< By sample: the process that has taken the key with this token.
    GrantCounts m_counts;
    std::vector<std::string> m_violations;
    std::uint64_t m_measurements = 0;
    std::uint64_t m_servedSamples = 0;
};

} // namespace Toucandeck::GrantRun
