#include "ownership/fake_log.h"

#include "ownership/controller.h"
#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::OwnershipRun
{

namespace
{

constexpr Duration kHeartbeat = 50ms;
/// Election timeouts as in consensus, with the drift bound: no vote before this time after a heartbeat.
constexpr Duration kMinElectionTimeout = 150ms + 300us;
constexpr std::uint64_t kElectionSpreadMs = 150;
/// Vote, no-op entry of the new term, commit.
constexpr Duration kTakeOver = 12ms;

} // namespace

FakeLog::FakeLog(VirtualTime &time, RandomSource &random, Network &network)
    : m_time(time)
    , m_random(random)
    , m_network(network)
{
}

void FakeLog::add(Controller &controller)
{
    m_controllers.push_back(&controller);
}

void FakeLog::start()
{
    m_time.every(2ms, [this] { commitDue(); });
    m_time.every(kHeartbeat, [this] { heartbeat(); });
    m_time.every(5ms, [this] { electIfDue(); });
}

void FakeLog::propose(Controller &controller, const wire::Command &command, Proposer::Done done)
{
    if (&controller != m_leader) {
        // A deposed leader that has not learned of the new term: its proposals are never committed.
        controller.keepUntilDeposed(std::move(done));
        return;
    }
    m_lastDue = std::max(m_lastDue, m_time.now() + 4ms + std::chrono::microseconds(m_random.below(8000)));
    m_proposals.push_back({ command.SerializeAsString(), std::move(done), m_lastDue });
}

void FakeLog::restarted(const Controller &controller)
{
    m_abandoned = m_abandoned || &controller == m_leader;
}

Controller *FakeLog::leader() const
{
    return m_leader;
}

std::uint64_t FakeLog::term() const
{
    return m_term;
}

const std::vector<std::string> &FakeLog::entries() const
{
    return m_entries;
}

std::uint64_t FakeLog::elections() const
{
    return m_term;
}

bool FakeLog::reaches(const Controller &a, const Controller &b) const
{
    return a.isRunning() && b.isRunning() && !m_network.isBlocked(a.address(), b.address())
        && !m_network.isBlocked(b.address(), a.address());
}

bool FakeLog::reachesQuorum(const Controller &controller) const
{
    const auto n = std::count_if(m_controllers.begin(), m_controllers.end(), [&](const auto *it) { return reaches(controller, *it); });
    return static_cast<std::size_t>(n) > m_controllers.size() / 2;
}

void FakeLog::commitDue()
{
    while (!m_abandoned && !m_proposals.empty() && m_proposals.front().due <= m_time.now() && reachesQuorum(*m_leader)) {
        auto proposal = std::move(m_proposals.front());
        m_proposals.pop_front();
        m_entries.push_back(proposal.command);
        m_leader->applyUpTo(m_entries);
        proposal.done(&m_leader->lastAnswer());
    }
}

void FakeLog::heartbeat()
{
    if (m_leader == nullptr || m_abandoned || !m_leader->isRunning()) {
        return;
    }
    for (auto *it : m_controllers) {
        if (it != m_leader && reaches(*m_leader, *it)) {
            it->stepDown();
            it->setLeaderAddress(m_leader->address());
            it->applyUpTo(m_entries);
        }
    }
    if (reachesQuorum(*m_leader)) {
        m_lastContact = m_time.now();
        m_leader->contacted();
    }
}

void FakeLog::electIfDue()
{
    if (m_leader != nullptr && m_time.now() - m_lastContact < kMinElectionTimeout + m_timeout) {
        return;
    }
    std::vector<Controller *> candidates;
    for (auto *it : m_controllers) {
        if (it->isRunning() && reachesQuorum(*it)) {
            candidates.push_back(it);
        }
    }
    if (!candidates.empty()) {
        elect(*candidates[m_random.below(candidates.size())]);
    }
}

void FakeLog::elect(Controller &winner)
{
    auto survive = m_proposals.empty() ? 0 : m_random.below(m_proposals.size() + 1);
    for (auto &it : m_proposals) {
        if (survive > 0) {
            m_entries.push_back(it.command);
            --survive;
        }
        if (m_leader != nullptr) {
            m_leader->keepUntilDeposed(std::move(it.done));
        }
    }
    m_proposals.clear();
    ++m_term;
    m_leader = &winner;
    m_abandoned = false;
    m_lastContact = m_time.now();
    m_timeout = std::chrono::milliseconds(m_random.below(kElectionSpreadMs));
    winner.stepDown();
    winner.applyUpTo(m_entries);
    winner.contacted();
    m_time.after(kTakeOver, [this, term = m_term, &winner] {
        winner.run([this, term, &winner] {
            if (m_term == term && reachesQuorum(winner)) {
                winner.lead();
            } else if (m_term == term) {
                // It never became active as leader; the next election replaces it.
                m_lastContact = m_time.now() - kMinElectionTimeout - m_timeout;
            }
        });
    });
}

} // namespace Toucandeck::OwnershipRun
