#pragma once

#include "common/random_source.h"
#include "ownership/network.h"
#include "ownership/proposer.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace Toucandeck::OwnershipRun
{

class Controller;

/// One committed log for all controllers, with a leader that changes. Commands are committed in the order of their proposals, some
/// milliseconds later, while the leader runs and reaches a quorum. What a deposed leader had proposed is committed in part.
class FakeLog
{
public:
    FakeLog(VirtualTime &time, RandomSource &random, Network &network);

    void add(Controller &controller);
    /// Starts elections, heartbeats and commits.
    void start();

    void propose(Controller &controller, const wire::Command &command, Proposer::Done done);

    /// Handles the restart of a controller; a leader loses its leadership.
    void restarted(const Controller &controller);

    /// The controller that was elected last; it may not have been notified yet.
    Controller *leader() const;
    std::uint64_t term() const;
    const std::vector<std::string> &entries() const;
    std::uint64_t elections() const;

private:
    struct Proposal
    {
        std::string command;
        Proposer::Done done;
        Duration due;
    };

    void commitDue();
    void heartbeat();
    void electIfDue();
    void elect(Controller &winner);
    bool reaches(const Controller &a, const Controller &b) const;
    bool reachesQuorum(const Controller &controller) const;

    VirtualTime &m_time;
    RandomSource &m_random;
    Network &m_network;
    std::vector<Controller *> m_controllers;
    std::vector<std::string> m_entries;
    std::deque<Proposal> m_proposals;
    Controller *m_leader = nullptr;
    std::uint64_t m_term = 0;
    Duration m_lastContact{ 0 };
    Duration m_timeout{ 0 };
    Duration m_lastDue{ 0 };
    bool m_abandoned = false;
};

} // namespace Toucandeck::OwnershipRun
