#include "ownership/leave_deadline.h"

#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::internal
{

namespace
{

/// Time for graceful moves; the rest of the 3 s of P4 and P8 covers requests on their way to the backend server.
constexpr Duration kLeaveGrace = 2800ms;

} // namespace

void LeaveDeadline::recordLeaderVersion(LogIndex version, TimePoint sendTime)
{
    m_answers.push_back({ version, sendTime });
    // An older answer would yield a deadline that has already passed.
    while (sendTime - m_answers.front().sendTime > kLeaveGrace) {
        m_answers.pop_front();
    }
}

void LeaveDeadline::update(bool isServing, LogIndex before, TimePoint now)
{
    if (isServing) {
        m_deadline.reset();
        return;
    }
    if (m_deadline) {
        return;
    }
    m_deadline = now;
    for (const auto &it : m_answers) {
        if (it.version <= before) {
            m_deadline = std::max(*m_deadline, it.sendTime + kLeaveGrace);
        }
    }
}

bool LeaveDeadline::admits(TimePoint now) const
{
    return !m_deadline || now < *m_deadline;
}

} // namespace Toucandeck::internal
