#pragma once

#include "consensus/membership.h"

#include "common/clock.h"

#include <map>
#include <optional>

namespace Toucandeck
{

/// Decides how the leader of the controllers forms and repairs their membership, one change at a time, without an operator.
///
/// A successor joins before its predecessor is removed: a voter that is only unreachable still has the log, and the other voters may
/// need it to form a quorum if disks are lost before the successor has a copy.
class MembershipRepair
{
public:
    /// @param self is the replica that decides; it is never removed.
    /// @param toleratedLosses number of controllers that may be lost at the same time.
    MembershipRepair(const Clock &clock, ReplicaId self, std::size_t toleratedLosses);

    /// Records a message of a replica.
    void onMessage(ReplicaId from);
    /// Records a request to join. Returns true if it is the first one of this replica.
    bool onJoinRequest(const Member &member);
    /// Records a gain or loss of leadership by this replica.
    void onLeadershipChanged();

    /// Next change to propose; empty if none is needed. Call it while no other change is pending.
    std::optional<Membership> nextMembership(const Membership &membership);

    /// True if the voters that remain after the tolerated losses are a quorum, so that each committed entry survives them.
    bool isDurable(const Membership &membership) const;

private:
    struct JoiningReplica
    {
        Member member;
        TimePoint lastRequest;
    };

    std::size_t targetVoters() const;
    const JoiningReplica *firstJoiningReplica(const Membership &membership) const;
    /// Other member with the role that has been silent for at least @p silence; null if there is none. Of several, one in the failure
    /// domain with most voters, since a successor usually starts in the domain of its predecessor, and of these the one silent for longest.
    const Member *silentMember(const Membership &membership, ReplicaRole role, Duration silence) const;
    /// Silent voter to remove while there are more than the target; null if there is none.
    const Member *surplusVoter(const Membership &membership) const;
    /// Other voter whose address is now used by a voter that sent a later message; null if there is none.
    const Member *replacedVoter(const Membership &membership) const;
    bool hasNewerMessage(ReplicaId replica, ReplicaId other) const;
    /// Time of the last message of the replica, or of the last change of leadership if that is later.
    TimePoint lastContact(ReplicaId replica) const;

    const Clock &m_clock;
    ReplicaId m_self;
    std::size_t m_toleratedLosses;
    TimePoint m_leadershipChange; ///< Time of the last gain or loss of leadership.
    std::map<ReplicaId, TimePoint> m_lastMessageTimes; ///< Time of the last message from each replica.
    std::map<ReplicaId, JoiningReplica> m_joiningReplicas;
};

} // namespace Toucandeck
