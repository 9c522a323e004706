#pragma once

#include "state/leave_status.h"

#include <set>
#include <span>
#include <string>

namespace Toucandeck::internal
{

/// Says whether the controllers still have a quorum after some of them are switched off.
class QuorumCheck
{
public:
    explicit QuorumCheck(std::span<const ControllerMember> members);

    /// Why the voters that are reachable and not in @p leaving cannot go on alone; empty: they can.
    std::string problemWithout(const std::set<ReplicaId> &leaving) const;

private:
    std::span<const ControllerMember> m_members;
};

} // namespace Toucandeck::internal
