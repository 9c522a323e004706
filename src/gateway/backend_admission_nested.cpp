#include "gateway/backend_admission.h"

#include <algorithm>

namespace Toucandeck
{

std::unordered_map<std::uint64_t, BackendAdmission::RunningCall>::const_iterator
BackendAdmission::findRunning(std::string_view requestId) const
{
    return std::find_if(m_running.begin(), m_running.end(), [requestId](const auto &it) { return it.second.call.requestId == requestId; });
}

bool BackendAdmission::isRunning(std::string_view requestId) const
{
    return findRunning(requestId) != m_running.end();
}

std::uint32_t BackendAdmission::answeredCalls(std::string_view requestId) const
{
    const auto it = findRunning(requestId);
    return it == m_running.end() ? 0 : it->second.answeredCalls;
}

void BackendAdmission::onNestedCallAnswered(std::string_view requestId)
{
    if (const auto it = findRunning(requestId); it != m_running.end()) {
        ++m_running.at(it->first).answeredCalls;
    }
}

void BackendAdmission::onNestedCallStarted(std::string_view requestId)
{
    const auto found = findRunning(requestId);
    if (found == m_running.end()) {
        return;
    }
    auto &running = m_running.at(found->first);
    if (running.pendingNestedCalls++ == 0) {
        running.nestedSince = m_clock.now();
    }
}

void BackendAdmission::onNestedCallEnded(std::string_view requestId)
{
    const auto found = findRunning(requestId);
    if (found == m_running.end() || found->second.pendingNestedCalls == 0) {
        return;
    }
    auto &running = m_running.at(found->first);
    if (--running.pendingNestedCalls == 0) {
        running.nestedTime += m_clock.now() - running.nestedSince;
    }
}

} // namespace Toucandeck
