#include "state/leave_status.h"

#include "state/quorum_check.h"
#include "state/table_columns.h"

#include <fmt/format.h>
#include <map>
#include <set>

namespace Toucandeck
{

namespace
{

/// Items that a session owns or is about to receive.
struct Holdings
{
    std::uint32_t partitions = 0;
    std::uint32_t hotKeys = 0;
};

using InstanceStatus = LeaveStatus::Instance;
using DomainStatus = LeaveStatus::FailureDomain;

/// The IP address in "tcp://10.0.0.7:5000" or "10.0.0.7:5000".
std::string_view hostOf(std::string_view address)
{
    if (const auto scheme = address.find("://"); scheme != std::string_view::npos) {
        address.remove_prefix(scheme + 3);
    }
    return address.substr(0, address.rfind(':'));
}

template<class Item>
bool isHeldBy(const Item &item, SessionId session)
{
    return item.owner() == session.value || item.moving_to() == session.value;
}

Holdings holdingsOf(const View &view, const wire::RouterSession &session)
{
    const SessionId id{ session.session() };
    Holdings holdings;
    for (const auto &it : view.assignments(session.service())) {
        holdings.partitions += isHeldBy(it, id) ? 1 : 0;
    }
    for (const auto &[hash, it] : view.hotKeys(session.service())) {
        holdings.hotKeys += isHeldBy(it, id) ? 1 : 0;
    }
    return holdings;
}

/// Adds a reason for each kind of work that is left or unknown.
void addRemainingWorkReasons(std::uint32_t partitions,
                             std::uint32_t hotKeys,
                             std::optional<std::uint32_t> inFlight,
                             std::vector<std::string> &reasons)
{
    if (partitions > 0) {
        reasons.push_back(fmt::format("{} partitions left", partitions));
    }
    if (hotKeys > 0) {
        reasons.push_back(fmt::format("{} hot keys left", hotKeys));
    }
    if (!inFlight) {
        reasons.emplace_back("the number of requests in flight is unknown");
    } else if (*inFlight > 0) {
        reasons.push_back(fmt::format("{} requests in flight", *inFlight));
    }
}

/// Collects the results of one call of LeaveStatus::compute().
class StatusBuilder
{
public:
    StatusBuilder(const View &view, const InFlightReports &inFlight, std::span<const ControllerMember> controllers, WallTime now)
        : m_view(view)
        , m_inFlight(inFlight)
        , m_controllers(controllers)
        , m_quorumCheck(controllers)
        , m_now(now)
    {
    }

    void collect()
    {
        collectLeavingDomains();
        for (const auto &[id, session] : m_view.sessions()) {
            addSession(session);
        }
        for (const auto &[key, row] : m_view.rows()) {
            addRow(key);
        }
        for (const auto &it : m_controllers) {
            m_domains[it.failureDomain].controllers += it.voter ? 1 : 0;
        }
        for (auto &[name, domain] : m_domains) {
            completeDomain(name, domain);
        }
    }

    std::map<RowKey, InstanceStatus> m_instances;
    std::map<std::string, DomainStatus> m_domains;

private:
    wire::RowState stateOf(const RowKey &key) const
    {
        return m_view.effectiveRow(key.service, key.failureDomain, key.instance).stateAt(m_now);
    }

    void collectLeavingDomains()
    {
        for (const auto &[key, row] : m_view.rows()) {
            if (key.service.empty() && stateOf(key) != wire::SERVING) {
                m_leavingDomains.insert(key.failureDomain);
            }
        }
    }

    std::optional<std::uint32_t> inFlightOf(SessionId id) const
    {
        const auto it = m_inFlight.find(id);
        return it == m_inFlight.end() ? std::nullopt : std::optional(it->second);
    }

    void addSession(const wire::RouterSession &session)
    {
        InstanceStatus status;
        status.key = { session.service(), session.failure_domain(), session.instance() };
        status.state = stateOf(status.key);
        status.session = SessionId{ session.session() };
        const auto holdings = holdingsOf(m_view, session);
        status.partitions = holdings.partitions;
        status.hotKeys = holdings.hotKeys;
        status.inFlight = inFlightOf(status.session);
        addToDomain(status);
        if (status.state == wire::SERVING) {
            return;
        }
        addRemainingWorkReasons(status.partitions, status.hotKeys, status.inFlight, status.reasons);
        addControllerReason(status.key, hostOf(session.message_address()), status.reasons);
        status.safe = status.reasons.empty();
        m_instances.emplace(status.key, std::move(status));
    }

    /// Adds an instance that is leaving or out but not registered. It owns nothing, because a session stays registered
    /// until its lease expires or it closes.
    void addRow(const RowKey &key)
    {
        if (!key.failureDomain.empty()) {
            m_domains[key.failureDomain];
        }
        if (key.instance.empty() || m_view.sessionOf(key.service, key.failureDomain, key.instance) || stateOf(key) == wire::SERVING) {
            return;
        }
        InstanceStatus status;
        status.key = key;
        status.state = stateOf(key);
        status.inFlight = 0;
        addControllerReason(key, {}, status.reasons);
        status.safe = status.reasons.empty();
        m_instances.emplace(key, std::move(status));
    }

    void addToDomain(const InstanceStatus &status)
    {
        auto &domain = m_domains[status.key.failureDomain];
        const bool isFirst = domain.instances == 0;
        ++domain.instances;
        domain.partitions += status.partitions;
        domain.hotKeys += status.hotKeys;
        const auto sum = isFirst ? std::optional<std::uint32_t>(0) : domain.inFlight;
        domain.inFlight = sum && status.inFlight ? std::optional(*sum + *status.inFlight) : std::nullopt;
        if (status.state == wire::SERVING) {
            ++m_servingInstances[status.key.failureDomain];
        }
    }

    /// Why the controllers could not commit entries if the given ones and those of all leaving failure domains were switched off.
    /// Empty if none of the given ones is a voter, unless the membership is unknown.
    template<class IsLeaving>
    std::string quorumProblem(IsLeaving isLeaving) const
    {
        std::set<ReplicaId> leaving;
        bool isAffected = m_controllers.empty();
        for (const auto &it : m_controllers) {
            const bool isTarget = it.voter && isLeaving(it);
            isAffected = isAffected || isTarget;
            if (isTarget || m_leavingDomains.contains(it.failureDomain)) {
                leaving.insert(it.id);
            }
        }
        return isAffected ? m_quorumCheck.quorumProblemWithout(leaving) : std::string();
    }

    /// Adds a reason if controllers on the VM of the instance are needed for the quorum. If either address is unknown, every
    /// controller of the failure domain counts as running on that VM.
    void addControllerReason(const RowKey &key, std::string_view host, std::vector<std::string> &reasons) const
    {
        const auto problem = quorumProblem([&](const ControllerMember &it) {
            return host.empty() || it.host.empty() ? it.failureDomain == key.failureDomain : it.host == host;
        });
        if (!problem.empty()) {
            reasons.push_back(problem);
        }
    }

    void completeDomain(const std::string &name, DomainStatus &domain)
    {
        domain.name = name;
        if (domain.instances == 0) {
            domain.inFlight = 0;
        }
        if (const auto serving = m_servingInstances[name]; serving > 0) {
            domain.reasons.push_back(fmt::format("{} instances are serving", serving));
        } else if (!m_leavingDomains.contains(name)) {
            domain.reasons.emplace_back("its row */" + name + "/* does not say leaving or out, so new instances would serve");
        }
        addRemainingWorkReasons(domain.partitions, domain.hotKeys, domain.inFlight, domain.reasons);
        const auto problem = quorumProblem([&name](const ControllerMember &it) { return it.failureDomain == name; });
        if (!problem.empty()) {
            domain.reasons.push_back(problem);
        }
        domain.safe = domain.reasons.empty();
    }

    const View &m_view;
    const InFlightReports &m_inFlight;
    std::span<const ControllerMember> m_controllers;
    internal::QuorumCheck m_quorumCheck;
    WallTime m_now;
    std::set<std::string> m_leavingDomains;
    std::map<std::string, std::uint32_t> m_servingInstances;
};

} // namespace

LeaveStatus
LeaveStatus::compute(const View &view, const InFlightReports &inFlight, std::span<const ControllerMember> controllers, WallTime now)
{
    StatusBuilder builder(view, inFlight, controllers, now);
    builder.collect();
    LeaveStatus status;
    for (auto &[key, it] : builder.m_instances) {
        status.m_instances.push_back(std::move(it));
    }
    for (auto &[name, it] : builder.m_domains) {
        status.m_failureDomains.push_back(std::move(it));
    }
    return status;
}

const std::vector<LeaveStatus::Instance> &LeaveStatus::instances() const
{
    return m_instances;
}

const std::vector<LeaveStatus::FailureDomain> &LeaveStatus::failureDomains() const
{
    return m_failureDomains;
}

} // namespace Toucandeck
