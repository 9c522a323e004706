#pragma once

#include "common/random_source.h"
#include "ownership/virtual_time.h"
#include "ownership/wire_namespace.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::OwnershipRun
{

/// A simulated process: can be down or paused. Messages to a paused process are delivered when it resumes.
class Process
{
public:
    Process(VirtualTime &time, RandomSource &random, std::string address);
    virtual ~Process() = default;

    virtual void receive(const wire::Envelope &envelope) = 0;

    const std::string &address() const;
    const Clock &clock() const;
    bool isRunning() const;
    bool isUp() const;
    void setUp(bool up);
    void pause(Duration length);
    /// Runs the action now, or after the pause; drops it if the process is down.
    void run(std::function<void()> action);

protected:
    /// Called first after a pause.
    virtual void resumed()
    {
    }

private:
    void resume();

    VirtualTime &m_time;
    std::string m_address;
    DriftingClock m_clock;
    bool m_up = true;
    Duration m_pausedUntil{ 0 };
    std::vector<std::function<void()>> m_waiting;
};

/// Simulated network between processes: delays, duplicates, reorders and drops messages.
class Network
{
public:
    Network(VirtualTime &time, RandomSource &random);

    void add(Process &process);
    void send(const Process &from, const std::string &to, wire::Envelope envelope);

    void block(const std::string &from, const std::string &to);
    void unblock(const std::string &from, const std::string &to);
    void unblockAll();
    bool isBlocked(const std::string &from, const std::string &to) const;

    /// Share of messages that are lost, repeated, and delayed by up to 1.5 s, in thousandths each. 0: 3 to 5 ms, no fault.
    void setTrouble(std::uint32_t permille);
    std::uint64_t lost() const;

private:
    Duration delay();
    bool happens();

    VirtualTime &m_time;
    RandomSource &m_random;
    std::vector<Process *> m_processes;
    std::multiset<std::pair<std::string, std::string>> m_blocked;
    std::uint32_t m_troublePermille = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_message = 0;
};

} // namespace Toucandeck::OwnershipRun
