#include "fleet/membership_repair.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kJoinRequestExpiry{ 1500 }; ///< Since the last join request of a replica.
constexpr milliseconds kRemoveVoterAfter{ 1500 }; ///< A voter silent for this long is removed if there are more than the target.
constexpr milliseconds kSuspectVoterAfter{ 300 }; ///< Several heartbeats; which silent voter is removed is decided among these.
constexpr milliseconds kRemoveLearnerAfter{ 3000 }; ///< A learner silent for this long is removed.

std::size_t voterCountIn(const Membership &membership, const std::string &failureDomain)
{
    const auto isCounted
        = [&failureDomain](const Member &it) { return it.role == ReplicaRole::Voter && it.failureDomain == failureDomain; };
    return static_cast<std::size_t>(std::count_if(membership.members.begin(), membership.members.end(), isCounted));
}

} // namespace

MembershipRepair::MembershipRepair(const Clock &clock, ReplicaId self, std::size_t toleratedLosses)
    : m_clock(clock)
    , m_self(self)
    , m_toleratedLosses(toleratedLosses)
{
}

void MembershipRepair::onMessage(ReplicaId from)
{
    m_lastMessageTimes[from] = m_clock.now();
}

bool MembershipRepair::onJoinRequest(const Member &member)
{
    return m_joiningReplicas.insert_or_assign(member.replica, JoiningReplica{ member, m_clock.now() }).second;
}

void MembershipRepair::onLeadershipChanged()
{
    m_leadershipChange = m_clock.now();
}

std::size_t MembershipRepair::targetVoters() const
{
    return 2 * m_toleratedLosses + 1;
}

bool MembershipRepair::isDurable(const Membership &membership) const
{
    // With fewer voters the entry could survive on a minority, which can never elect a leader.
    return membership.voterCount() >= targetVoters();
}

const Member *MembershipRepair::silentMember(const Membership &membership, ReplicaRole role, Duration silence) const
{
    const auto isPreferred = [&](const Member &a, const Member &b) {
        const auto votersOfA = voterCountIn(membership, a.failureDomain);
        const auto votersOfB = voterCountIn(membership, b.failureDomain);
        return votersOfA != votersOfB ? votersOfA > votersOfB : lastContact(a.replica) < lastContact(b.replica);
    };
    const Member *silent = nullptr;
    for (const auto &it : membership.members) {
        if (it.role != role || it.replica == m_self || m_clock.now() - lastContact(it.replica) < silence) {
            continue;
        }
        if (silent == nullptr || isPreferred(it, *silent)) {
            silent = &it;
        }
    }
    return silent;
}

const Member *MembershipRepair::surplusVoter(const Membership &membership) const
{
    if (membership.voterCount() <= targetVoters()) {
        return nullptr;
    }
    // A voter that has been silent for long may return; the predecessor of the surplus voter may have become silent just now.
    const auto *voter = silentMember(membership, ReplicaRole::Voter, kSuspectVoterAfter);
    return voter != nullptr && m_clock.now() - lastContact(voter->replica) >= kRemoveVoterAfter ? voter : nullptr;
}

TimePoint MembershipRepair::lastContact(ReplicaId replica) const
{
    const auto found = m_lastMessageTimes.find(replica);
    return found == m_lastMessageTimes.end() ? m_leadershipChange : std::max(found->second, m_leadershipChange);
}

const MembershipRepair::JoiningReplica *MembershipRepair::firstJoiningReplica(const Membership &membership) const
{
    for (const auto &[replica, joining] : m_joiningReplicas) {
        if (membership.find(replica) == nullptr) {
            return &joining;
        }
    }
    return nullptr;
}

const Member *MembershipRepair::replacedVoter(const Membership &membership) const
{
    for (const auto &it : membership.members) {
        const auto isSuccessor = [this, &it](const Member &other) {
            return other.role == ReplicaRole::Voter && other.address == it.address && other.replica != it.replica
                && hasNewerMessage(other.replica, it.replica);
        };
        const auto &members = membership.members;
        if (it.role == ReplicaRole::Voter && it.replica != m_self && std::any_of(members.begin(), members.end(), isSuccessor)) {
            return &it;
        }
    }
    return nullptr;
}

bool MembershipRepair::hasNewerMessage(ReplicaId replica, ReplicaId other) const
{
    if (replica == m_self) {
        return true;
    }
    const auto found = m_lastMessageTimes.find(replica);
    const auto otherFound = m_lastMessageTimes.find(other);
    return found != m_lastMessageTimes.end() && (otherFound == m_lastMessageTimes.end() || found->second > otherFound->second);
}

std::optional<Membership> MembershipRepair::nextMembership(const Membership &membership)
{
    const auto now = m_clock.now();
    std::erase_if(m_joiningReplicas, [now](const auto &it) { return now - it.second.lastRequest > kJoinRequestExpiry; });
    if (const auto *replaced = replacedVoter(membership)) {
        return membership.without(replaced->replica);
    }
    if (const auto *learner = silentMember(membership, ReplicaRole::Learner, kRemoveLearnerAfter)) {
        return membership.without(learner->replica);
    }
    if (const auto *voter = surplusVoter(membership)) {
        return membership.without(voter->replica);
    }
    const auto *joining = firstJoiningReplica(membership);
    return joining == nullptr ? std::nullopt : std::optional(membership.with(joining->member));
}

} // namespace Toucandeck
