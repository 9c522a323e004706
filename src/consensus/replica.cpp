#include "consensus/replica.h"

#include "consensus/replica_core.h"

namespace Toucandeck
{

namespace
{

Result<void> checkOptions(const ReplicaOptions &options)
{
    if (options.heartbeat <= Duration::zero() || options.electionTimeoutMin <= options.heartbeat
        || options.electionTimeoutMax <= options.electionTimeoutMin) {
        return fail(ErrorCode::InvalidArgument, "times must satisfy 0 < heartbeat < electionTimeoutMin < electionTimeoutMax");
    }
    if (options.snapshotInterval == 0 || options.snapshotBytes == 0 || options.snapshotChunkBytes == 0 || options.appendBytes == 0
        || options.appendsInFlight == 0) {
        return fail(ErrorCode::InvalidArgument,
                    "snapshotInterval, snapshotBytes, snapshotChunkBytes, appendBytes and appendsInFlight must be positive");
    }
    if (!options.initialMembership.members.empty()) {
        BOOST_LEAF_CHECK(checkMembership(options.initialMembership));
    }
    return {};
}

} // namespace

Result<std::unique_ptr<Replica>> Replica::create(
    ReplicaOptions options, LogStore &store, StateMachine &machine, ReplicaTransport &transport, const Clock &clock, RandomSource &random)
{
    BOOST_LEAF_CHECK(checkOptions(options));
    auto core = std::make_unique<internal::ReplicaCore>(std::move(options), store, machine, transport, clock, random);
    BOOST_LEAF_CHECK(core->load());
    return std::unique_ptr<Replica>(new Replica(std::move(core)));
}

Replica::Replica(std::unique_ptr<internal::ReplicaCore> core)
    : m_core(std::move(core))
{
}

Replica::~Replica() = default;

void Replica::tick()
{
    m_core->tick();
}

void Replica::receive(const wire::ReplicaMessage &message)
{
    m_core->receive(message);
}

Result<LogIndex> Replica::propose(std::string command)
{
    return m_core->propose(std::move(command));
}

Result<LogIndex> Replica::proposeMembership(const Membership &membership)
{
    return m_core->proposeMembership(membership);
}

void Replica::confirmLeadership(std::function<void(Result<void>)> callback)
{
    m_core->confirmLeadership(std::move(callback));
}

void Replica::onOutcome(LogIndex index, std::function<void(ProposalOutcome)> callback)
{
    m_core->onOutcome(index, std::move(callback));
}

void Replica::flush()
{
    m_core->flush();
}

bool Replica::isLeader() const
{
    return m_core->isLeader();
}

bool Replica::isLeaderReady() const
{
    return m_core->isLeaderReady();
}

bool Replica::isConfirmedLeader() const
{
    return m_core->isConfirmedLeader();
}

ReplicaId Replica::id() const
{
    return m_core->id();
}

Term Replica::term() const
{
    return m_core->term();
}

std::optional<ReplicaId> Replica::leader() const
{
    return m_core->leader();
}

LogIndex Replica::commitIndex() const
{
    return m_core->commitIndex();
}

LogIndex Replica::appliedIndex() const
{
    return m_core->appliedIndex();
}

LogIndex Replica::lastIndex() const
{
    return m_core->log().lastIndex();
}

LogIndex Replica::snapshotIndex() const
{
    return m_core->snapshotIndex();
}

const Membership &Replica::membership() const
{
    return m_core->log().membership();
}

bool Replica::isMembershipCommitted() const
{
    return m_core->log().membershipIndex() <= m_core->commitIndex();
}

LogIndex Replica::syncedIndexOf(ReplicaId member) const
{
    return m_core->syncedIndexOf(member);
}

bool Replica::isNeededForQuorum(ReplicaId member) const
{
    return m_core->isNeededForQuorum(member);
}

const std::optional<Error> &Replica::failure() const
{
    return m_core->failure();
}

} // namespace Toucandeck
