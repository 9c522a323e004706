#include "daemon/replica_driver.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Toucandeck
{

namespace
{

constexpr const char *kFirstMembershipFile = "first_membership";

Result<void> writeSynced(const std::filesystem::path &path, const std::string &content)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) {
        return fail(ErrorCode::Io, fmt::format("cannot create '{}': {}", path.string(), std::strerror(errno)));
    }
    const bool written = ::write(file, content.data(), content.size()) == static_cast<ssize_t>(content.size()) && ::fsync(file) == 0;
    ::close(file);
    if (!written) {
        return fail(ErrorCode::Io, fmt::format("cannot write '{}': {}", path.string(), std::strerror(errno)));
    }
    return {};
}

} // namespace

Result<std::unique_ptr<ReplicaDriver>> ReplicaDriver::create(const ReplicaDriverParts &parts, const std::string &dataFolder)
{
    auto driver = std::unique_ptr<ReplicaDriver>(new ReplicaDriver(parts, dataFolder));
    BOOST_LEAF_CHECK(driver->open());
    return driver;
}

ReplicaDriver::ReplicaDriver(const ReplicaDriverParts &parts, std::string dataFolder)
    : m_parts(parts)
    , m_dataFolder(std::move(dataFolder))
{
    m_state.setListener([this](const AppliedCommand &applied) {
        if (m_pendingCallbacks.count(applied.index) != 0) {
            m_pendingAnswers[applied.index] = applied.answer;
        }
        if (m_onApplied) {
            m_onApplied(applied.index, applied.delta);
        }
    });
}

ReplicaDriver::~ReplicaDriver() = default;

Result<void> ReplicaDriver::open()
{
    BOOST_LEAF_ASSIGN(m_store, FileLogStore::open(m_dataFolder, m_parts.random));
    BOOST_LEAF_ASSIGN(m_firstMembership, readFirstMembership());
    ReplicaOptions options;
    options.initialMembership = m_firstMembership;
    options.logger = &m_parts.logger;
    BOOST_LEAF_ASSIGN(m_replica, Replica::create(options, *m_store, m_state, *this, m_parts.loop.clock(), m_parts.random));
    return {};
}

Result<Membership> ReplicaDriver::readFirstMembership() const
{
    std::ifstream in(std::filesystem::path(m_dataFolder) / kFirstMembershipFile, std::ios::binary);
    if (!in) {
        return Membership{};
    }
    std::stringstream buf;
    buf << in.rdbuf();
    wire::MembershipConfig config;
    if (!config.ParseFromString(buf.str())) {
        return fail(ErrorCode::Corrupt, fmt::format("'{}/{}' is corrupt", m_dataFolder, kFirstMembershipFile));
    }
    return fromWire(config);
}

Result<void> ReplicaDriver::bootstrap(const Membership &membership)
{
    BOOST_LEAF_CHECK(checkMembership(membership));
    if (!m_replica->membership().members.empty()) {
        return fail(ErrorCode::Conflict, "this controller already belongs to a membership; use 'controllers add' to extend it");
    }
    if (!membership.isVoter(m_replica->id())) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("the membership does not name this controller ({:016x})", m_replica->id().value));
    }
    BOOST_LEAF_CHECK(writeSynced(std::filesystem::path(m_dataFolder) / kFirstMembershipFile, toWire(membership).SerializeAsString()));
    m_replica.reset();
    m_store.reset();
    return open();
}

void ReplicaDriver::setAppliedCallback(AppliedCallback onApplied)
{
    m_onApplied = std::move(onApplied);
}

void ReplicaDriver::tick()
{
    m_replica->tick();
}

void ReplicaDriver::receive(const std::string &sender, const wire::ReplicaMessage &message)
{
    m_senderAddresses[ReplicaId{ message.from() }] = sender;
    m_replica->receive(message);
}

void ReplicaDriver::flush()
{
    m_replica->flush();
}

Replica &ReplicaDriver::replica()
{
    return *m_replica;
}

const Replica &ReplicaDriver::replica() const
{
    return *m_replica;
}

const ClusterState &ReplicaDriver::state() const
{
    return m_state;
}

void ReplicaDriver::propose(const wire::Command &command, Done done)
{
    proposeForAnswer(
        command, [done = std::move(done)](std::optional<LogIndex> index, const CommandAnswer &answer) { done(index ? &answer : nullptr); });
}

void ReplicaDriver::proposeForAnswer(const wire::Command &command, AnswerCallback onAnswer)
{
    const auto index = handleError(
        [&]() -> Result<std::optional<LogIndex>> {
            BOOST_LEAF_AUTO(proposed, m_replica->propose(command.SerializeAsString()));
            return std::optional<LogIndex>(proposed);
        },
        [](const Error &) { return std::optional<LogIndex>(); });
    if (!index) {
        onAnswer(std::nullopt, {});
        return;
    }
    m_pendingCallbacks[*index] = std::move(onAnswer);
    m_replica->onOutcome(*index, [this, index = *index](ProposalOutcome outcome) {
        const auto callback = std::move(m_pendingCallbacks[index]);
        const auto answer = std::move(m_pendingAnswers[index]);
        m_pendingCallbacks.erase(index);
        m_pendingAnswers.erase(index);
        if (outcome == ProposalOutcome::Applied) {
            callback(index, answer);
        } else {
            callback(std::nullopt, {});
        }
    });
}

bool ReplicaDriver::isConfirmedLeader() const
{
    return m_replica->isConfirmedLeader();
}

std::string ReplicaDriver::leaderAddress() const
{
    const auto *leader = leaderMember();
    return leader ? leader->address : std::string();
}

std::string ReplicaDriver::leaderHttpAddress() const
{
    const auto *leader = leaderMember();
    return leader ? leader->httpAddress : std::string();
}

const Member *ReplicaDriver::leaderMember() const
{
    const auto leader = m_replica->leader();
    return leader ? m_replica->membership().find(*leader) : nullptr;
}

void ReplicaDriver::send(ReplicaId to, const wire::ReplicaMessage &message)
{
    const auto *member = m_replica ? m_replica->membership().find(to) : m_firstMembership.find(to);
    const auto sender = m_senderAddresses.find(to);
    if (!member && sender == m_senderAddresses.end()) {
        return;
    }
    wire::Envelope envelope;
    *envelope.mutable_replica() = message;
    m_parts.messages.send(member ? member->address : sender->second, std::move(envelope));
}

} // namespace Toucandeck
