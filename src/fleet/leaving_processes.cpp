#include "fleet/leaving_processes.h"

#include "fleet/incarnation.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

bool startedBefore(const std::string &a, const std::string &b)
{
    return isLaterIncarnation(b, a);
}

} // namespace

LeavingProcesses::LeavingProcesses(const wire::InstanceReport &report)
{
    for (const auto &it : report.leaving_processes()) {
        add(it);
    }
    add(report.leaving());
    if (report.state() == wire::DRAINING) {
        add(report.incarnation());
    }
}

bool LeavingProcesses::add(const std::string &incarnation)
{
    if (incarnation.empty() || covers(incarnation)) {
        return false;
    }
    std::erase_if(m_names, [&incarnation](const auto &it) { return haveSameId(it, incarnation); });
    if (m_names.size() == kMaxIds) {
        m_names.erase(std::min_element(m_names.begin(), m_names.end(), startedBefore));
    }
    m_names.push_back(incarnation);
    return true;
}

void LeavingProcesses::add(const LeavingProcesses &other)
{
    for (const auto &it : other.m_names) {
        add(it);
    }
}

bool LeavingProcesses::covers(std::string_view incarnation) const
{
    return std::any_of(m_names.begin(), m_names.end(), [incarnation](const auto &it) {
        return isSameProcess(it, incarnation) || (haveSameId(it, incarnation) && isLaterIncarnation(it, incarnation));
    });
}

std::string LeavingProcesses::latest() const
{
    const auto it = std::max_element(m_names.begin(), m_names.end(), startedBefore);
    return it == m_names.end() ? std::string() : *it;
}

const std::vector<std::string> &LeavingProcesses::names() const
{
    return m_names;
}

void LeavingProcesses::addTo(wire::InstanceReport &report) const
{
    report.set_leaving(latest());
    report.mutable_leaving_processes()->Add(m_names.begin(), m_names.end());
}

} // namespace Toucandeck
