#pragma once

#include "consensus/wire_namespace.h"

#include "common/ids.h"
#include "common/result.h"

#include <string>
#include <vector>

namespace Toucandeck
{

/// Role of a replica in the membership.
enum class ReplicaRole {
    Voter, ///< Counts in every quorum.
    Learner, ///< Receives the log; counts in no quorum.
};

/// One replica of the membership.
struct Member
{
    ReplicaId replica;
    ReplicaRole role = ReplicaRole::Learner;
    std::string failureDomain;
    std::string address; ///< Message address, for example "tcp://127.0.0.1:7101".
    std::string httpAddress; ///< HTTP address for operators, for example "127.0.0.1:7102".

    bool operator==(const Member &) const = default;
};

/// Replicas of the log. The latest membership in a replica's log takes effect at once, even before it is committed.
struct Membership
{
    std::vector<Member> members;

    bool operator==(const Membership &) const = default;

    /// The member with this id; null if there is none.
    const Member *find(ReplicaId replica) const;

    /// True if the replica is a member and a voter.
    bool isVoter(ReplicaId replica) const;

    std::size_t voterCount() const;

    /// Copy with the member added, or replaced if it has the id of an existing member.
    Membership with(Member member) const;

    /// Copy without the member.
    Membership without(ReplicaId replica) const;
};

wire::MembershipConfig toWire(const Membership &membership);
Membership fromWire(const wire::MembershipConfig &config);

/// Checks that ids are set and unique and that there is a voter. Errors: InvalidArgument.
Result<void> checkMembership(const Membership &membership);

/// Checks that @p after differs from @p before in exactly one replica and by an allowed step: a learner added, a replica
/// removed, a learner promoted, or the addresses of one replica changed.
/// Errors: InvalidArgument (malformed, for example a duplicate id), Refused (not an allowed step).
Result<void> checkMembershipChange(const Membership &before, const Membership &after);

} // namespace Toucandeck
