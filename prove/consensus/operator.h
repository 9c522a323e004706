#pragma once

#include "fake_cluster.h"

#include <optional>

namespace Toucandeck
{

/// Repairs the membership: removes replicas whose disk is lost, adds new ones, and replaces healthy ones on request.
class Operator
{
public:
    explicit Operator(FakeCluster &cluster);

    /// Proposes at most one step towards the desired membership.
    void act();

    /// Requests that the replica in the slot is removed, its disk wiped and a new replica added there.
    void replace(int slot);

    /// Membership on which all nodes but @p except agree and which is committed; empty if a process is down or they differ.
    std::optional<Membership> agreedMembership(int except = -1);

    /// True if the disk in the slot may be lost: the remaining voters still form a quorum.
    bool tolerates(int slot);

    /// True if every slot holds a voter, nothing else is a member, and this is committed.
    bool isRepaired();

    std::uint64_t changes() const;

private:
    void proposeNext(Replica &leader);
    void propose(Replica &leader, const Membership &membership);
    bool isPresent(ReplicaId replica);
    void wipeDiskIfRemoved();

    FakeCluster &m_cluster;
    std::optional<int> m_replacing;
    std::uint64_t m_changes = 0;
};

} // namespace Toucandeck
