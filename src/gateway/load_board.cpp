#include "gateway/load_board.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kSuspicion{ 300 }; ///< After the first failure; doubles with each further one.
constexpr milliseconds kMaxSuspicion{ 2400 };
constexpr milliseconds kReportAge{ 400 }; ///< An older report says little about the load now.

} // namespace

LoadBoard::LoadBoard(const Clock &clock)
    : m_clock(clock)
{
}

void LoadBoard::sent(const std::string &ip)
{
    auto &load = m_loads[ip];
    ++load.inFlight;
    ++load.sentSince;
}

void LoadBoard::cancelled(const std::string &ip)
{
    auto &load = m_loads[ip];
    load.inFlight -= std::min(load.inFlight, 1U);
}

void LoadBoard::answered(const std::string &ip, const CallResult &result)
{
    cancelled(ip);
    auto &load = m_loads[ip];
    const auto now = m_clock.now();
    const bool unreachable = result.reason == wire::LINK_LOST || (result.reason == wire::CONNECT_FAILED && result.load.slots() == 0);
    if (unreachable) {
        const auto length = std::min(kMaxSuspicion, kSuspicion * (1 << std::min(load.failures, 3)));
        load.suspectUntil = now + length;
        ++load.failures;
        return;
    }
    load.failures = 0;
    load.suspectUntil = {};
    load.report = result.load;
    load.reportedAt = now;
    load.sentSince = 0;
}

const KnownLoad &LoadBoard::at(const std::string &ip) const
{
    static const KnownLoad unknown;
    const auto it = m_loads.find(ip);
    return it == m_loads.end() ? unknown : it->second;
}

bool LoadBoard::isSuspect(const std::string &ip) const
{
    return m_clock.now() < at(ip).suspectUntil;
}

bool LoadBoard::isFresh(const KnownLoad &load) const
{
    return load.reportedAt != TimePoint() && m_clock.now() - load.reportedAt <= kReportAge;
}

} // namespace Toucandeck
