#pragma once

#include "ownership/bounded_load.h"
#include "ownership/coordinator.h"
#include "ownership/fake_log.h"
#include "ownership/network.h"
#include "state/cluster_state.h"

#include <memory>
#include <string>
#include <vector>

namespace Toucandeck::OwnershipRun
{

/// A simulated controller: state machine and coordinator.
class Controller : public Process, private Proposer, private RouterLink, private LeadershipCheck
{
public:
    Controller(VirtualTime &time, RandomSource &random, Network &network, FakeLog &log, const std::string &address);

    /// Replaces state and coordinator as a restart does, from a snapshot.
    void restart();

    void applyUpTo(const std::vector<std::string> &entries);
    const CommandAnswer &lastAnswer() const;
    void lead();
    void stepDown();
    void contacted();
    void setLeaderAddress(const std::string &address);
    void keepUntilDeposed(Proposer::Done done);
    bool isLeading() const;
    void proposeCommand(const wire::Command &command, Proposer::Done done);

    const View &view() const;
    const Coordinator &coordinator() const;

    void receive(const wire::Envelope &envelope) override;

private:
    void propose(const wire::Command &command, Done done) override;
    void sendToSession(SessionId session, const wire::Envelope &envelope) override;
    void sendToAddress(const std::string &address, const wire::Envelope &envelope) override;
    bool isConfirmedLeader() const override;
    std::string leaderAddress() const override;
    void build(const std::string &snapshot);

    Network &m_network;
    FakeLog &m_log;
    NullLogger m_logger;
    BoundedLoadPlacement m_placement;
    std::unique_ptr<ClusterState> m_state;
    std::unique_ptr<Coordinator> m_coordinator;
    std::vector<Proposer::Done> m_kept;
    std::string m_leaderAddress;
    std::size_t m_applied = 0;
    TimePoint m_lastContact;
    bool m_leading = false;
};

} // namespace Toucandeck::OwnershipRun
