#include "fleet/replica_group.h"

#include "fleet/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 20 };
constexpr milliseconds kHeartbeat{ 100 };
/// Several heartbeats, so that a controller with a share of a core does not lose its followers to a burst of work.
constexpr milliseconds kElectionMin{ 500 };
constexpr milliseconds kElectionMax{ 900 };
constexpr std::uint64_t kSnapshotInterval = 512; ///< Bounds the log when manifests are large.
constexpr milliseconds kJoinInterval{ 300 };
constexpr milliseconds kOutsideAfter{ 2000 };
constexpr milliseconds kMendInterval{ 200 };
constexpr milliseconds kNewcomerForgotten{ 1500 };
constexpr milliseconds kReplaceSilentAfter{ 1500 }; ///< A voter this long silent gives way to a newcomer.
constexpr milliseconds kRemoveSurplusAfter{ 3000 }; ///< A voter this long silent is removed if there are more than the target.

} // namespace

Result<std::unique_ptr<ReplicaGroup>> ReplicaGroup::create(const ReplicaGroupParts &parts, ReplicaGroupOptions options)
{
    std::unique_ptr<ReplicaGroup> group(new ReplicaGroup(parts, std::move(options)));
    BOOST_LEAF_CHECK(group->open());
    return group;
}

ReplicaGroup::ReplicaGroup(const ReplicaGroupParts &parts, ReplicaGroupOptions options)
    : m_parts(parts)
    , m_options(std::move(options))
{
    m_state.setListener([this](LogIndex index, const wire::FleetCommand &command, CommandOutcome outcome) {
        if (m_waiting.count(index) != 0) {
            m_outcomes[index] = outcome;
        }
        if (m_applied) {
            m_applied(index, command, outcome);
        }
    });
}

ReplicaGroup::~ReplicaGroup() = default;

Result<void> ReplicaGroup::open()
{
    BOOST_LEAF_ASSIGN(m_store, FileLogStore::open(m_options.dataFolder, m_parts.random));
    Membership first;
    if (startsTheLog()) {
        first.members.push_back(
            { m_store->replica(), ReplicaRole::Voter, m_options.failureDomain, m_options.ip, m_options.operatorAddress });
    }
    BOOST_LEAF_CHECK(start(std::move(first)));
    m_tick = m_parts.loop.every(kTick, [this] { tick(); });
    m_flush = m_parts.loop.atIterationEnd([this] { flush(); });
    return {};
}

bool ReplicaGroup::startsTheLog() const
{
    const auto lowest = std::min_element(m_options.seeds.begin(), m_options.seeds.end());
    return m_options.firstStart && lowest != m_options.seeds.end() && *lowest == m_options.ip;
}

Result<void> ReplicaGroup::start(Membership first)
{
    ReplicaOptions options;
    options.initialMembership = std::move(first);
    options.heartbeat = kHeartbeat;
    options.electionTimeoutMin = kElectionMin;
    options.electionTimeoutMax = kElectionMax;
    options.snapshotInterval = kSnapshotInterval;
    options.logger = &m_parts.logger;
    BOOST_LEAF_ASSIGN(m_replica, Replica::create(options, *m_store, m_state, *this, m_parts.loop.clock(), m_parts.random));
    m_parts.logger.write(FleetEvents::kReplicaStarted,
                         { field("replica", fmt::format("{:016x}", m_replica->id().value)),
                           field("members", m_replica->membership().members.size()),
                           field("applied", m_replica->appliedIndex().value),
                           field("last", m_replica->lastIndex().value) });
    return {};
}

void ReplicaGroup::setSeeds(std::vector<std::string> seeds)
{
    m_options.seeds = std::move(seeds);
}

void ReplicaGroup::setApplied(std::function<void(LogIndex, const wire::FleetCommand &, CommandOutcome)> applied)
{
    m_applied = std::move(applied);
}

void ReplicaGroup::setFailed(std::function<void(const Error &)> failed)
{
    m_failed = std::move(failed);
}

void ReplicaGroup::flush()
{
    m_replica->flush();
    if (m_replica->failure() && m_failed) {
        m_parts.logger.write(FleetEvents::kStorageFailed, { field("error", m_replica->failure()->message) });
        std::exchange(m_failed, nullptr)(*m_replica->failure());
    }
}

void ReplicaGroup::tick()
{
    m_replica->tick();
    noteLeadership();
    const auto now = m_parts.loop.clock().now();
    if (m_replica->leader()) {
        m_leaderSeen = now;
    }
    // Without a leader for long, the others may have replaced this replica while it was cut off.
    const bool isOutside = !m_replica->membership().isVoter(m_replica->id()) || now - m_leaderSeen > kOutsideAfter;
    if (isOutside && now >= m_nextJoin) {
        m_nextJoin = now + kJoinInterval;
        askToJoin();
    }
    if (m_replica->isLeaderReady() && now >= m_nextMend) {
        m_nextMend = now + kMendInterval;
        mendMembership();
    }
}

void ReplicaGroup::noteLeadership()
{
    const bool leads = m_replica->isLeaderReady();
    if (leads == m_leads) {
        return;
    }
    m_leads = leads;
    m_leadsSince = m_parts.loop.clock().now();
    m_parts.logger.write(leads ? FleetEvents::kLeadershipGained : FleetEvents::kLeadershipLost,
                         { field("term", m_replica->term().value), field("applied", m_replica->appliedIndex().value) });
}

void ReplicaGroup::askToJoin()
{
    wire::PeerMessage message;
    auto &request = *message.mutable_join();
    request.set_replica(m_replica->id().value);
    request.set_failure_domain(m_options.failureDomain);
    request.set_address(m_options.ip);
    request.set_operator_address(m_options.operatorAddress);
    std::set<std::string> asked(m_options.seeds.begin(), m_options.seeds.end());
    for (const auto &it : controllers()) {
        asked.insert(it);
    }
    asked.erase(m_options.ip);
    for (const auto &it : asked) {
        m_parts.links.send(it, message);
    }
}

wire::JoinReply ReplicaGroup::receive(const wire::JoinRequest &request)
{
    const ReplicaId replica{ request.replica() };
    if (m_replica->isLeaderReady() && !m_replica->membership().isVoter(replica)) {
        Member member{ replica, ReplicaRole::Learner, request.failure_domain(), request.address(), request.operator_address() };
        const bool added = m_newcomers.insert_or_assign(replica, Newcomer{ member, m_parts.loop.clock().now() }).second;
        if (added) {
            m_parts.logger.write(FleetEvents::kJoinAsked,
                                 { field("replica", fmt::format("{:016x}", replica.value)), field("address", request.address()) });
        }
    }
    wire::JoinReply reply;
    reply.set_leader(leaderIp());
    for (const auto &it : controllers()) {
        reply.add_controllers(it);
    }
    return reply;
}

void ReplicaGroup::receive(const wire::JoinReply &reply)
{
    // Seeds can be out of date; what the others know replaces nothing but is asked as well.
    for (const auto &it : reply.controllers()) {
        if (std::find(m_options.seeds.begin(), m_options.seeds.end(), it) == m_options.seeds.end()) {
            m_options.seeds.push_back(it);
        }
    }
}

std::size_t ReplicaGroup::targetVoters() const
{
    return 2 * m_options.toleratedLosses + 1;
}

const Member *ReplicaGroup::silentVoter(Duration silence) const
{
    const auto now = m_parts.loop.clock().now();
    const Member *silent = nullptr;
    TimePoint earliest = TimePoint::max();
    for (const auto &it : m_replica->membership().members) {
        const auto heard = m_heard.find(it.replica);
        const auto last = std::max(heard == m_heard.end() ? TimePoint::min() : heard->second, m_leadsSince);
        if (it.replica != m_replica->id() && now - last >= silence && last < earliest) {
            earliest = last;
            silent = &it;
        }
    }
    return silent;
}

const ReplicaGroup::Newcomer *ReplicaGroup::firstNewcomer() const
{
    for (const auto &[replica, newcomer] : m_newcomers) {
        if (m_replica->membership().find(replica) == nullptr) {
            return &newcomer;
        }
    }
    return nullptr;
}

std::optional<Membership> ReplicaGroup::nextMembership() const
{
    const auto &membership = m_replica->membership();
    if (const auto *newcomer = firstNewcomer()) {
        const auto sameAddress = [newcomer](const Member &it) { return it.address == newcomer->member.address; };
        const auto former = std::find_if(membership.members.begin(), membership.members.end(), sameAddress);
        if (former != membership.members.end()) {
            return membership.without(former->replica);
        }
        const auto *silent = silentVoter(kReplaceSilentAfter);
        if (silent != nullptr && membership.voterCount() >= targetVoters()) {
            return membership.without(silent->replica);
        }
        return membership.with(newcomer->member);
    }
    const auto *silent = silentVoter(kRemoveSurplusAfter);
    if (silent != nullptr && (membership.voterCount() > targetVoters() || silent->role == ReplicaRole::Learner)) {
        return membership.without(silent->replica);
    }
    return std::nullopt;
}

void ReplicaGroup::mendMembership()
{
    const auto now = m_parts.loop.clock().now();
    std::erase_if(m_newcomers, [now](const auto &it) { return now - it.second.lastAsked > kNewcomerForgotten; });
    if (!m_replica->membershipCommitted()) {
        return;
    }
    const auto next = nextMembership();
    if (!next) {
        return;
    }
    const auto size = m_replica->membership().members.size();
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(m_replica->proposeMembership(*next));
            m_parts.logger.write(FleetEvents::kMembershipChange, { field("before", size), field("after", next->members.size()) });
            return {};
        },
        [&](const Error &error) { m_parts.logger.write(FleetEvents::kMembershipRefused, { field("error", error.message) }); });
}

void ReplicaGroup::receive(const std::string &peer, const wire::ReplicaMessage &message)
{
    const ReplicaId from{ message.from() };
    m_senders[from] = peer;
    m_heard[from] = m_parts.loop.clock().now();
    m_replica->receive(message);
}

void ReplicaGroup::send(ReplicaId to, const wire::ReplicaMessage &message)
{
    const auto *member = m_replica ? m_replica->membership().find(to) : nullptr;
    const auto sender = m_senders.find(to);
    if (member == nullptr && sender == m_senders.end()) {
        return;
    }
    const auto &ip = member != nullptr ? member->address : sender->second;
    wire::PeerMessage out;
    *out.mutable_replica() = message;
    m_parts.links.watch(ip);
    m_parts.links.send(ip, out);
}

void ReplicaGroup::propose(const wire::FleetCommand &command, Decided decided)
{
    const auto index = handleError(
        [&]() -> Result<std::optional<LogIndex>> {
            BOOST_LEAF_AUTO(proposed, m_replica->propose(command.SerializeAsString()));
            return std::optional<LogIndex>(proposed);
        },
        [](const Error &) { return std::optional<LogIndex>(); });
    if (!index) {
        decided(std::nullopt);
        return;
    }
    m_waiting[*index] = std::move(decided);
    m_replica->onOutcome(*index, [this, index = *index](ProposalOutcome outcome) {
        const auto callback = std::move(m_waiting[index]);
        const auto found = m_outcomes.find(index);
        const auto result = found == m_outcomes.end() ? std::nullopt : std::optional(found->second);
        m_waiting.erase(index);
        m_outcomes.erase(index);
        callback(outcome == ProposalOutcome::Applied ? result : std::nullopt);
    });
}

void ReplicaGroup::confirmLeadership(std::function<void(bool)> callback)
{
    m_replica->confirmLeadership([callback = std::move(callback)](const Result<void> &result) { callback(static_cast<bool>(result)); });
}

const FleetState &ReplicaGroup::state() const
{
    return m_state;
}

bool ReplicaGroup::isLeaderReady() const
{
    return m_replica->isLeaderReady();
}

bool ReplicaGroup::isConfirmedLeader() const
{
    return m_replica->isLeaderReady() && m_replica->isConfirmedLeader();
}

bool ReplicaGroup::isDurable() const
{
    return m_replica->membership().voterCount() / 2 + 1 > m_options.toleratedLosses;
}

std::size_t ReplicaGroup::voters() const
{
    return m_replica->membership().voterCount();
}

Term ReplicaGroup::term() const
{
    return m_replica->term();
}

const Member *ReplicaGroup::leaderMember() const
{
    const auto leader = m_replica->leader();
    return leader ? m_replica->membership().find(*leader) : nullptr;
}

std::string ReplicaGroup::leaderIp() const
{
    const auto *leader = leaderMember();
    return leader != nullptr ? leader->address : std::string();
}

std::string ReplicaGroup::leaderOperatorAddress() const
{
    const auto *leader = leaderMember();
    return leader != nullptr ? leader->httpAddress : std::string();
}

std::vector<std::string> ReplicaGroup::controllers() const
{
    std::vector<std::string> ips;
    for (const auto &it : m_replica->membership().members) {
        ips.push_back(it.address);
    }
    return ips;
}

} // namespace Toucandeck
