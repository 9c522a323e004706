#pragma once

#include "state/leave_status.h"

#include <set>
#include <span>
#include <string>

namespace Toucandeck::internal
{

/// Checks whether the controllers can still commit entries if some of them are switched off.
class QuorumCheck
{
public:
    explicit QuorumCheck(std::span<const ControllerMember> members);

    /// Why the reachable voters that are not in @p leaving could not commit entries on their own; empty if they could.
    std::string quorumProblemWithout(const std::set<ReplicaId> &leaving) const;

private:
    std::span<const ControllerMember> m_members;
};

} // namespace Toucandeck::internal
