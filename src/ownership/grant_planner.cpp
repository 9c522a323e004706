#include "ownership/grant_planner.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck::internal
{

namespace
{

/// Moves in progress towards one receiver. Each makes the keys of a partition wait for a drain; 4 bound the share that waits.
constexpr std::uint32_t kMotionLimit = 4;
/// The same for a cold receiver, which serves one request at a time at first.
constexpr std::uint32_t kColdMotionLimit = 1;

} // namespace

GrantPlanner::GrantPlanner(LeaderContext &context)
    : m_context(context)
{
}

void GrantPlanner::reset()
{
    m_pending.clear();
    m_moveBegan.clear();
    m_firstVersion = m_context.view().version();
}

void GrantPlanner::applied(const wire::ViewDelta &delta)
{
    for (const auto &service : delta.services()) {
        for (const auto &it : service.assignments()) {
            const Place place{ service.service(), it.partition() };
            if (it.moving_to() != 0) {
                m_moveBegan[place] = LogIndex{ delta.to_version() };
            } else {
                m_moveBegan.erase(place);
            }
        }
    }
}

PlacedPartition GrantPlanner::placed(const std::string &service, const wire::Assignment &assignment) const
{
    const PartitionId partition{ assignment.partition() };
    PlacedPartition placed;
    placed.owner = SessionId{ assignment.owner() };
    placed.movingTo = SessionId{ assignment.moving_to() };
    placed.held = isPending(service, partition) || m_context.holds.isHeld(service, partition, m_context.now());
    const auto *owner = m_context.find(placed.owner);
    if (owner != nullptr && owner->expiring) {
        // ExpireSession is ahead in the log: a grant proposed now applies after it.
        placed.held = placed.held || m_context.blocksGrant(placed.owner);
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
        receiver.mayReceive = m_context.isFresh(it.id);
        receiver.motionLimit = it.session->cold() ? kColdMotionLimit : kMotionLimit;
        input.receivers.push_back(receiver);
    }
    std::sort(input.receivers.begin(), input.receivers.end(), [](const auto &a, const auto &b) { return a.session < b.session; });
    for (const auto &it : m_context.view().assignments(service)) {
        input.partitions.push_back(placed(service, it));
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
    std::set<Place> granted;
    std::set<Place> moved;
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
    const auto &present = m_context.view().assignments(service)[change.partition.value];
    const SessionId previous{ present.owner() };
    TOUCANDECK_ASSERT(!previous || m_context.leases.hasEnded(previous, m_context.now()), "no grant while a lease may be valid");
    TOUCANDECK_ASSERT(!m_context.holds.isHeld(service, change.partition, m_context.now()), "no grant while a lease may be valid");
    auto &grant = *command.add_grants();
    grant.set_service(service);
    grant.set_partition(change.partition.value);
    grant.set_session(change.to.value);
    grant.set_previous_epoch(present.epoch());
    grant.set_wall_time_ms(m_context.wallMilliseconds());
}

bool GrantPlanner::isReleasable(const wire::Release &release, std::uint32_t partition) const
{
    const auto assignments = m_context.view().assignments(release.service());
    if (partition >= assignments.size() || isPending(release.service(), PartitionId{ partition })) {
        return false;
    }
    // Behind a pending ExpireSession of the receiver the move is given up, and the owner may admit again.
    if (!m_context.isLive(SessionId{ release.receiver() })) {
        return false;
    }
    const auto &present = assignments[partition];
    const auto began = m_moveBegan.find({ release.service(), partition });
    const auto since = began == m_moveBegan.end() ? m_firstVersion : began->second;
    return present.owner() == release.session() && present.moving_to() != 0 && present.moving_to() == release.receiver()
        && release.version() >= since.value;
}

void GrantPlanner::release(const wire::Release &release)
{
    wire::Command command;
    std::set<Place> places;
    for (const auto partition : release.partitions()) {
        if (isReleasable(release, partition) && places.emplace(release.service(), partition).second) {
            command.mutable_release_partitions()->add_partitions(partition);
        }
    }
    if (places.empty()) {
        return;
    }
    auto &body = *command.mutable_release_partitions();
    body.set_service(release.service());
    body.set_session(release.session());
    body.set_receiver(release.receiver());
    body.set_wall_time_ms(m_context.wallMilliseconds());
    propose(command, places);
}

bool GrantPlanner::isPending(const std::string &service, PartitionId partition) const
{
    return m_pending.contains({ service, partition.value });
}

void GrantPlanner::block(const std::string &service, PartitionId partition)
{
    m_pending.emplace(service, partition.value);
}

void GrantPlanner::unblock(const std::string &service, PartitionId partition)
{
    const auto it = m_pending.find({ service, partition.value });
    if (it != m_pending.end()) {
        m_pending.erase(it);
    }
}

void GrantPlanner::propose(const wire::Command &command, const std::set<Place> &places)
{
    if (places.empty()) {
        return;
    }
    m_pending.insert(places.begin(), places.end());
    m_context.propose(command, [this, places](const CommandAnswer *) {
        for (const auto &[service, partition] : places) {
            unblock(service, PartitionId{ partition });
        }
    });
}

} // namespace Toucandeck::internal
