#include "ownership/network.h"

#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::OwnershipRun
{

namespace
{

std::int64_t drift(RandomSource &random)
{
    return static_cast<std::int64_t>(random.below(2 * kClockDriftPpm + 1)) - kClockDriftPpm;
}

} // namespace

Process::Process(VirtualTime &time, RandomSource &random, std::string address)
    : m_time(time)
    , m_address(std::move(address))
    , m_clock(time, drift(random), std::chrono::hours(1 + random.below(1000)), std::chrono::milliseconds(random.below(100)))
{
}

const std::string &Process::address() const
{
    return m_address;
}

const Clock &Process::clock() const
{
    return m_clock;
}

bool Process::isRunning() const
{
    return m_up && m_time.now() >= m_pausedUntil;
}

bool Process::isUp() const
{
    return m_up;
}

void Process::setUp(bool up)
{
    m_up = up;
    m_pausedUntil = Duration::zero();
    m_waiting.clear();
}

void Process::pause(Duration length)
{
    if (!isRunning()) {
        return;
    }
    m_pausedUntil = m_time.now() + length;
    m_time.after(length, [this] { resume(); });
}

void Process::resume()
{
    if (!isRunning()) {
        return;
    }
    resumed();
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto &it : waiting) {
        it();
    }
}

void Process::run(std::function<void()> action)
{
    if (isRunning()) {
        action();
    } else if (m_up) {
        m_waiting.push_back(std::move(action));
    }
}

Network::Network(VirtualTime &time, RandomSource &random)
    : m_time(time)
    , m_random(random)
{
}

void Network::add(Process &process)
{
    m_processes.push_back(&process);
}

void Network::send(const Process &from, const std::string &to, wire::Envelope envelope)
{
    const auto it = std::find_if(m_processes.begin(), m_processes.end(), [&to](const auto *it) { return it->address() == to; });
    if (it == m_processes.end() || isBlocked(from.address(), to) || happens()) {
        ++m_lost;
        return;
    }
    envelope.set_sender(from.address());
    envelope.set_message(++m_message);
    const int copies = happens() ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        m_time.after(delay(), [process = *it, envelope] { process->run([process, envelope] { process->receive(envelope); }); });
    }
}

void Network::block(const std::string &from, const std::string &to)
{
    m_blocked.emplace(from, to);
}

void Network::unblock(const std::string &from, const std::string &to)
{
    const auto it = m_blocked.find({ from, to });
    if (it != m_blocked.end()) {
        m_blocked.erase(it);
    }
}

void Network::unblockAll()
{
    m_blocked.clear();
}

bool Network::isBlocked(const std::string &from, const std::string &to) const
{
    return m_blocked.contains({ from, to });
}

void Network::setTrouble(std::uint32_t permille)
{
    m_troublePermille = permille;
}

std::uint64_t Network::lost() const
{
    return m_lost;
}

bool Network::happens()
{
    return m_random.below(1000) < m_troublePermille;
}

Duration Network::delay()
{
    const Duration usual = 3ms + std::chrono::microseconds(m_random.below(2000));
    return happens() ? usual + std::chrono::milliseconds(m_random.below(1500)) : usual;
}

} // namespace Toucandeck::OwnershipRun
