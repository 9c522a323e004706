#include "ownership/controller.h"

#include "common/assert.h"
#include "common/result.h"
#include "ownership/lease.h"

namespace Toucandeck::OwnershipRun
{

namespace
{

constexpr Duration kMinElectionTimeout = 150ms;

} // namespace

Controller::Controller(VirtualTime &time, RandomSource &random, Network &network, FakeLog &log, const std::string &address)
    : Process(time, random, address)
    , m_network(network)
    , m_log(log)
{
    build({});
    time.every(kOwnershipTick, [this] {
        if (isRunning()) {
            m_coordinator->tick();
        }
    });
}

void Controller::build(const std::string &snapshot)
{
    m_coordinator.reset();
    m_state = std::make_unique<ClusterState>();
    if (!snapshot.empty()) {
        const bool restored = handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_state->restore(snapshot));
                return true;
            },
            [](const Error &) { return false; });
        TOUCANDECK_ASSERT(restored, "a snapshot can be restored");
    }
    m_coordinator = std::make_unique<Coordinator>(CoordinatorParts{ *m_state, clock(), *this, *this, *this, m_placement, m_logger });
    m_state->setListener([this](const AppliedCommand &applied) { m_coordinator->onCommandApplied(applied.index, applied.delta); });
}

void Controller::restart()
{
    stepDown();
    setUp(true);
    build(m_state->snapshot());
    m_log.restarted(*this);
}

void Controller::applyUpTo(const std::vector<std::string> &entries)
{
    while (m_applied < entries.size()) {
        ++m_applied;
        m_state->apply(LogIndex{ m_applied }, entries[m_applied - 1]);
    }
}

const CommandAnswer &Controller::lastAnswer() const
{
    return m_state->lastAnswer();
}

void Controller::lead()
{
    m_leading = true;
    m_leaderAddress = address();
    m_coordinator->onLeadershipGained();
}

void Controller::stepDown()
{
    if (m_leading) {
        m_leading = false;
        m_coordinator->onLeadershipLost();
    }
    const auto kept = std::move(m_kept);
    m_kept.clear();
    for (const auto &done : kept) {
        done(nullptr);
    }
}

void Controller::contacted()
{
    m_lastContact = clock().now();
}

void Controller::setLeaderAddress(const std::string &address)
{
    m_leaderAddress = address;
}

void Controller::keepUntilDeposed(Proposer::Done done)
{
    m_kept.push_back(std::move(done));
}

bool Controller::isLeading() const
{
    return m_leading;
}

void Controller::proposeCommand(const wire::Command &command, Proposer::Done done)
{
    m_log.propose(*this, command, std::move(done));
}

const View &Controller::view() const
{
    return m_state->view();
}

const Coordinator &Controller::coordinator() const
{
    return *m_coordinator;
}

void Controller::receive(const wire::Envelope &envelope)
{
    m_coordinator->receive(envelope.sender(), envelope);
}

void Controller::propose(const wire::Command &command, Done done)
{
    m_log.propose(*this, command, std::move(done));
}

void Controller::sendToSession(SessionId session, const wire::Envelope &envelope)
{
    if (const auto *known = m_state->view().session(session)) {
        m_network.send(*this, known->message_address(), envelope);
    }
}

void Controller::sendToAddress(const std::string &address, const wire::Envelope &envelope)
{
    m_network.send(*this, address, envelope);
}

bool Controller::isConfirmedLeader() const
{
    return m_leading && clock().now() - m_lastContact < kMinElectionTimeout;
}

std::string Controller::leaderAddress() const
{
    return m_leaderAddress;
}

} // namespace Toucandeck::OwnershipRun
