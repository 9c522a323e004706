#include "fleet/replica_group.h"

#include "fleet/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 20 };
constexpr milliseconds kHeartbeatInterval{ 100 };
/// Several heartbeat intervals, so that a burst of work on a controller with a fraction of a core does not cause an election.
constexpr milliseconds kElectionTimeoutMin{ 500 };
constexpr milliseconds kElectionTimeoutMax{ 900 };
constexpr std::uint64_t kSnapshotInterval = 512; ///< Log entries.
constexpr milliseconds kJoinInterval{ 300 };
constexpr milliseconds kRejoinAfter{ 2000 }; ///< Without a known leader.
constexpr milliseconds kRepairInterval{ 200 };

/// Member of @p membership that @p other lacks; null if there is none.
const Member *missingMember(const Membership &membership, const Membership &other)
{
    const auto &members = membership.members;
    const auto found = std::find_if(members.begin(), members.end(), [&other](const Member &it) { return !other.find(it.replica); });
    return found == members.end() ? nullptr : &*found;
}

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
        if (m_pendingProposals.count(index) != 0) {
            m_outcomes[index] = outcome;
        }
        if (command.body_case() == wire::FleetCommand::BODY_NOT_SET) {
            m_parts.logger.write(FleetEvents::kCommandIgnored, { field("index", index.value) });
        }
        if (m_appliedHandler) {
            m_appliedHandler(index, command, outcome);
        }
    });
}

ReplicaGroup::~ReplicaGroup() = default;

Result<void> ReplicaGroup::open()
{
    BOOST_LEAF_ASSIGN(m_store, FileLogStore::open(m_options.dataFolder, m_parts.random));
    Membership first;
    if (bootstrapsLog()) {
        first.members.push_back(
            { m_store->replica(), ReplicaRole::Voter, m_options.failureDomain, m_options.ip, m_options.operatorAddress });
    }
    BOOST_LEAF_CHECK(start(std::move(first)));
    m_tickTimer = m_parts.loop.every(kTickInterval, [this] { tick(); });
    m_flushHook = m_parts.loop.atIterationEnd([this] { flush(); });
    return {};
}

bool ReplicaGroup::bootstrapsLog() const
{
    const auto lowest = std::min_element(m_options.seeds.begin(), m_options.seeds.end());
    return m_options.firstStart && lowest != m_options.seeds.end() && *lowest == m_options.ip;
}

Result<void> ReplicaGroup::start(Membership first)
{
    ReplicaOptions options;
    options.initialMembership = std::move(first);
    options.heartbeat = kHeartbeatInterval;
    options.electionTimeoutMin = kElectionTimeoutMin;
    options.electionTimeoutMax = kElectionTimeoutMax;
    options.snapshotInterval = kSnapshotInterval;
    options.logger = &m_parts.logger;
    BOOST_LEAF_ASSIGN(m_replica, Replica::create(options, *m_store, m_state, *this, m_parts.loop.clock(), m_parts.random));
    m_repair = std::make_unique<MembershipRepair>(m_parts.loop.clock(), m_replica->id(), m_options.toleratedLosses);
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

void ReplicaGroup::setAppliedHandler(std::function<void(LogIndex, const wire::FleetCommand &, CommandOutcome)> applied)
{
    m_appliedHandler = std::move(applied);
}

void ReplicaGroup::setFailureHandler(std::function<void(const Error &)> failed)
{
    m_failureHandler = std::move(failed);
}

void ReplicaGroup::flush()
{
    m_replica->flush();
    if (m_replica->failure() && m_failureHandler) {
        m_parts.logger.write(FleetEvents::kStorageFailed, { field("error", m_replica->failure()->message) });
        std::exchange(m_failureHandler, nullptr)(*m_replica->failure());
    }
}

void ReplicaGroup::tick()
{
    m_replica->tick();
    updateLeadership();
    const auto now = m_parts.loop.clock().now();
    if (m_replica->leader()) {
        m_lastLeaderTime = now;
    }
    // If no leader was known for long, the others may have replaced this replica during a network partition.
    const bool isExcluded = !m_replica->membership().isVoter(m_replica->id()) || now - m_lastLeaderTime > kRejoinAfter;
    if (isExcluded && now >= m_nextJoin) {
        m_nextJoin = now + kJoinInterval;
        sendJoinRequests();
    }
    if (m_replica->isLeaderReady() && now >= m_nextRepair) {
        m_nextRepair = now + kRepairInterval;
        repairMembership();
    }
}

void ReplicaGroup::updateLeadership()
{
    const bool leads = m_replica->isLeaderReady();
    if (leads == m_isLeader) {
        return;
    }
    m_isLeader = leads;
    m_repair->onLeadershipChanged();
    m_parts.logger.write(leads ? FleetEvents::kLeadershipGained : FleetEvents::kLeadershipLost,
                         { field("term", m_replica->term().value),
                           field("applied", m_replica->appliedIndex().value),
                           field("voters", voterCount()),
                           field("durable", isDurable()) });
}

void ReplicaGroup::sendJoinRequests()
{
    wire::PeerMessage message;
    auto &request = *message.mutable_join();
    request.set_replica(m_replica->id().value);
    request.set_failure_domain(m_options.failureDomain);
    request.set_address(m_options.ip);
    request.set_operator_address(m_options.operatorAddress);
    std::set<std::string> peers(m_options.seeds.begin(), m_options.seeds.end());
    for (const auto &it : controllers()) {
        peers.insert(it);
    }
    peers.erase(m_options.ip);
    for (const auto &it : peers) {
        m_parts.links.send(it, message);
    }
}

wire::JoinReply ReplicaGroup::receive(const wire::JoinRequest &request)
{
    const ReplicaId replica{ request.replica() };
    if (m_replica->isLeaderReady() && !m_replica->membership().isVoter(replica)) {
        const Member member{ replica, ReplicaRole::Learner, request.failure_domain(), request.address(), request.operator_address() };
        if (m_repair->onJoinRequest(member)) {
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
    // Seeds can be out of date. Controllers named by others are added to them and also receive join requests.
    for (const auto &it : reply.controllers()) {
        if (std::find(m_options.seeds.begin(), m_options.seeds.end(), it) == m_options.seeds.end()) {
            m_options.seeds.push_back(it);
        }
    }
}

void ReplicaGroup::repairMembership()
{
    if (!m_replica->isMembershipCommitted()) {
        return;
    }
    const auto next = m_repair->nextMembership(m_replica->membership());
    if (!next) {
        return;
    }
    const auto before = m_replica->membership();
    const auto *added = missingMember(*next, before);
    const auto *changed = added != nullptr ? added : missingMember(before, *next);
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(m_replica->proposeMembership(*next));
            m_parts.logger.write(FleetEvents::kMembershipChange,
                                 { field("change", added != nullptr ? "added" : "removed"),
                                   field("replica", fmt::format("{:016x}", changed->replica.value)),
                                   field("address", changed->address),
                                   field("before", before.members.size()),
                                   field("after", next->members.size()),
                                   field("voters_before", before.voterCount()),
                                   field("voters_after", next->voterCount()) });
            return {};
        },
        [&](const Error &error) { m_parts.logger.write(FleetEvents::kMembershipRefused, { field("error", error.message) }); });
}

void ReplicaGroup::receive(const std::string &peer, const wire::ReplicaMessage &message)
{
    const ReplicaId from{ message.from() };
    m_senderIps[from] = peer;
    m_repair->onMessage(from);
    m_replica->receive(message);
}

void ReplicaGroup::send(ReplicaId to, const wire::ReplicaMessage &message)
{
    const auto *member = m_replica ? m_replica->membership().find(to) : nullptr;
    const auto sender = m_senderIps.find(to);
    if (member == nullptr && sender == m_senderIps.end()) {
        return;
    }
    const auto &ip = member != nullptr ? member->address : sender->second;
    wire::PeerMessage out;
    *out.mutable_replica() = message;
    m_parts.links.monitor(ip);
    m_parts.links.send(ip, out);
}

void ReplicaGroup::propose(const wire::FleetCommand &command, OutcomeCallback outcomeCallback)
{
    const auto index = handleError(
        [&]() -> Result<std::optional<LogIndex>> {
            BOOST_LEAF_AUTO(proposed, m_replica->propose(command.SerializeAsString()));
            return std::optional<LogIndex>(proposed);
        },
        [](const Error &) { return std::optional<LogIndex>(); });
    if (!index) {
        outcomeCallback(std::nullopt);
        return;
    }
    m_pendingProposals[*index] = std::move(outcomeCallback);
    m_replica->onOutcome(*index, [this, index = *index](ProposalOutcome outcome) {
        const auto callback = std::move(m_pendingProposals[index]);
        const auto found = m_outcomes.find(index);
        const auto result = found == m_outcomes.end() ? std::nullopt : std::optional(found->second);
        m_pendingProposals.erase(index);
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
    return m_repair->isDurable(m_replica->membership());
}

std::size_t ReplicaGroup::voterCount() const
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
