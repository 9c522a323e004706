#include "ownership/grant_planner.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck::internal
{

namespace
{

/// Maximum number of moves in progress towards one receiver. During a move the keys of the partition wait for a drain; the limit
/// bounds the share of keys that wait.
constexpr std::uint32_t kMaxIncomingMoves = 4;
/// Limit for a cold receiver, which initially serves one request at a time.
constexpr std::uint32_t kMaxIncomingMovesCold = 1;

} // namespace

GrantPlanner::GrantPlanner(LeaderContext &context)
    : m_context(context)
{
}

void GrantPlanner::reset()
{
    m_pendingPartitions.clear();
    m_moves.reset(m_context.view().version());
}

void GrantPlanner::onDeltaApplied(const wire::ViewDelta &delta)
{
    for (const auto &service : delta.services()) {
        for (const auto &it : service.assignments()) {
            m_moves.onAssignment({ service.service(), it.partition() }, it, LogIndex{ delta.to_version() });
        }
    }
}

PlacedPartition GrantPlanner::placedPartition(const std::string &service, const wire::Assignment &assignment) const
{
    const PartitionId partition{ assignment.partition() };
    PlacedPartition placed;
    placed.owner = SessionId{ assignment.owner() };
    placed.movingTo = SessionId{ assignment.moving_to() };
    placed.isBlocked = isPending(service, partition) || m_context.holds.isHeld(service, partition, m_context.now());
    const auto *owner = m_context.find(placed.owner);
    if (owner != nullptr && owner->expiryProposed) {
        // ExpireSession was proposed earlier: a grant proposed now is applied after it.
        placed.isBlocked = placed.isBlocked || m_context.blocksGrant(placed.owner);
        placed.owner = SessionId();
        placed.movingTo = SessionId();
    }
    return placed;
}

PlacementInput GrantPlanner::inputFor(const std::string &service) const
{
    PlacementInput input;
    for (const auto &it : m_context.view().instancesOf(service)) {
        Receiver receiver;
        receiver.session = it.id;
        receiver.weight = static_cast<double>(it.row.weight) * it.row.slots;
        receiver.mayOwn = m_context.mayOwn(it);
        receiver.mayReceive = m_context.isRecentlyRenewed(it.id);
        receiver.maxIncomingMoves = it.session->cold() ? kMaxIncomingMovesCold : kMaxIncomingMoves;
        input.receivers.push_back(receiver);
    }
    std::sort(input.receivers.begin(), input.receivers.end(), [](const auto &a, const auto &b) { return a.session < b.session; });
    for (const auto &it : m_context.view().assignments(service)) {
        input.partitions.push_back(placedPartition(service, it));
    }
    return input;
}

void GrantPlanner::plan(const std::string &service)
{
    if (m_context.view().assignments(service).empty()) {
        return;
    }
    wire::Command grants;
    wire::Command moves;
    std::set<ServicePartition> granted;
    std::set<ServicePartition> moved;
    for (const auto &it : m_context.parts.placement.plan(inputFor(service))) {
        if (it.from) {
            auto &move = *moves.mutable_begin_moves()->add_moves();
            move.set_service(service);
            move.set_partition(it.partition.value);
            move.set_session(it.to.value);
            move.set_previous_epoch(m_context.view().assignments(service)[it.partition.value].epoch());
            move.set_wall_time_ms(m_context.wallMilliseconds());
            moved.emplace(service, it.partition.value);
        } else {
            addGrant(*grants.mutable_grant_partitions(), service, it);
            granted.emplace(service, it.partition.value);
        }
    }
    propose(grants, granted);
    propose(moves, moved);
}

void GrantPlanner::addGrant(wire::GrantPartitions &command, const std::string &service, const PlacementChange &change) const
{
    const auto &current = m_context.view().assignments(service)[change.partition.value];
    const SessionId previous{ current.owner() };
    TOUCANDECK_ASSERT(!previous || m_context.leases.hasExpired(previous, m_context.now()), "no grant while a lease may be valid");
    TOUCANDECK_ASSERT(!m_context.holds.isHeld(service, change.partition, m_context.now()), "no grant while a lease may be valid");
    auto &grant = *command.add_grants();
    grant.set_service(service);
    grant.set_partition(change.partition.value);
    grant.set_session(change.to.value);
    grant.set_previous_epoch(current.epoch());
    grant.set_wall_time_ms(m_context.wallMilliseconds());
}

bool GrantPlanner::isReleasable(const wire::Release &release, std::uint32_t partition) const
{
    const auto assignments = m_context.view().assignments(release.service());
    if (partition >= assignments.size() || isPending(release.service(), PartitionId{ partition })) {
        return false;
    }
    // A pending ExpireSession of the receiver cancels the move, after which the owner may admit again.
    if (!m_context.isLive(SessionId{ release.receiver() })) {
        return false;
    }
    return m_moves.isValidRelease({ release.service(), partition }, assignments[partition], release);
}

void GrantPlanner::handleRelease(const wire::Release &release)
{
    wire::Command command;
    std::set<ServicePartition> items;
    for (const auto partition : release.partitions()) {
        if (isReleasable(release, partition) && items.emplace(release.service(), partition).second) {
            command.mutable_release_partitions()->add_partitions(partition);
        }
    }
    if (items.empty()) {
        return;
    }
    auto &body = *command.mutable_release_partitions();
    body.set_service(release.service());
    body.set_session(release.session());
    body.set_receiver(release.receiver());
    body.set_wall_time_ms(m_context.wallMilliseconds());
    propose(command, items);
}

bool GrantPlanner::isPending(const std::string &service, PartitionId partition) const
{
    return m_pendingPartitions.contains({ service, partition.value });
}

void GrantPlanner::block(const std::string &service, PartitionId partition)
{
    m_pendingPartitions.emplace(service, partition.value);
}

void GrantPlanner::unblock(const std::string &service, PartitionId partition)
{
    const auto it = m_pendingPartitions.find({ service, partition.value });
    if (it != m_pendingPartitions.end()) {
        m_pendingPartitions.erase(it);
    }
}

void GrantPlanner::propose(const wire::Command &command, const std::set<ServicePartition> &items)
{
    if (items.empty()) {
        return;
    }
    m_pendingPartitions.insert(items.begin(), items.end());
    m_context.propose(command, [this, items](const CommandAnswer *) {
        for (const auto &[service, partition] : items) {
            unblock(service, PartitionId{ partition });
        }
    });
}

} // namespace Toucandeck::internal
