#include "operator.h"

#include "consensus/quorum.h"

namespace Toucandeck
{

Operator::Operator(FakeCluster &cluster)
    : m_cluster(cluster)
{
}

void Operator::act()
{
    wipeDiskIfRemoved();
    auto *leader = m_cluster.leader();
    if (leader != nullptr && leader->replica->isLeaderReady() && leader->replica->isMembershipCommitted()) {
        proposeNext(*leader->replica);
    }
}

void Operator::proposeNext(Replica &leader)
{
    const auto &membership = leader.membership();
    std::vector<Membership> steps;
    for (const auto &it : membership.members) {
        const bool leaving = m_replacing && m_cluster.node(*m_replacing).store.syncedState().replica == it.replica;
        if (leaving || !isPresent(it.replica)) {
            steps.push_back(membership.without(it.replica));
        }
    }
    for (int n = 0; n < m_cluster.size(); ++n) {
        const auto member = m_cluster.memberOf(m_cluster.node(n), ReplicaRole::Learner);
        if (membership.find(member.replica) == nullptr && m_replacing != n) {
            steps.push_back(membership.with(member));
        }
    }
    if (!steps.empty()) {
        propose(leader, steps[m_cluster.random.below(steps.size())]);
    }
}

void Operator::propose(Replica &leader, const Membership &membership)
{
    m_changes += handleError(
        [&]() -> Result<std::uint64_t> {
            BOOST_LEAF_CHECK(leader.proposeMembership(membership));
            return 1;
        },
        [](const Error &) { return std::uint64_t{ 0 }; });
}

bool Operator::isPresent(ReplicaId replica)
{
    for (int n = 0; n < m_cluster.size(); ++n) {
        if (m_cluster.node(n).store.syncedState().replica == replica) {
            return true;
        }
    }
    return false;
}

void Operator::replace(int slot)
{
    if (!m_replacing && isRepaired()) {
        m_replacing = slot;
    }
}

void Operator::wipeDiskIfRemoved()
{
    if (!m_replacing) {
        return;
    }
    const auto agreed = agreedMembership(*m_replacing);
    if (agreed && agreed->find(m_cluster.node(*m_replacing).store.syncedState().replica) == nullptr) {
        m_cluster.loseDisk(*m_replacing);
        m_cluster.start(*m_replacing);
        m_replacing.reset();
    }
}

std::optional<Membership> Operator::agreedMembership(int except)
{
    std::optional<Membership> agreed;
    bool committed = false;
    for (int n = 0; n < m_cluster.size(); ++n) {
        const auto &replica = m_cluster.node(n).replica;
        if (n == except) {
            continue;
        }
        if (!replica || replica->failure()) {
            return std::nullopt;
        }
        if (!replica->lastIndex()) {
            continue;
        }
        if (agreed && *agreed != replica->membership()) {
            return std::nullopt;
        }
        agreed = replica->membership();
        committed = committed || replica->isMembershipCommitted();
    }
    return committed ? agreed : std::nullopt;
}

bool Operator::tolerates(int slot)
{
    // Removing a healthy replica and losing another disk within one election timeout exceeds what a quorum of three tolerates.
    if (m_replacing) {
        return false;
    }
    const auto agreed = agreedMembership();
    const auto lost = m_cluster.node(slot).store.syncedState().replica;
    return agreed && internal::isQuorum(*agreed, [&](ReplicaId replica) { return replica != lost && isPresent(replica); });
}

bool Operator::isRepaired()
{
    const auto agreed = agreedMembership();
    if (!agreed || m_replacing || agreed->members.size() != static_cast<std::size_t>(m_cluster.size())) {
        return false;
    }
    for (const auto &it : agreed->members) {
        if (it.role != ReplicaRole::Voter || !isPresent(it.replica)) {
            return false;
        }
    }
    return true;
}

std::uint64_t Operator::changes() const
{
    return m_changes;
}

} // namespace Toucandeck
