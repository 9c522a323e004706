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

struct Holdings
{
    std::uint32_t partitions = 0;
    std::uint32_t hotKeys = 0;
};

using InstanceStatus = LeaveStatus::Instance;
using DomainStatus = LeaveStatus::FailureDomain;

/// The IP number in "tcp://10.0.0.7:5000" or "10.0.0.7:5000".
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

void addWorkReasons(std::uint32_t partitions,
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

/// Collects the figures of one call of LeaveStatus::compute().
class StatusBuilder
{
public:
    StatusBuilder(const View &view, const InFlightReports &inFlight, std::span<const ControllerMember> controllers, WallTime now)
        : m_view(view)
        , m_inFlight(inFlight)
        , m_controllers(controllers)
        , m_quorum(controllers)
        , m_now(now)
    {
    }

    void run()
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
            finishDomain(name, domain);
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
        addWorkReasons(status.partitions, status.hotKeys, status.inFlight, status.reasons);
        addControllerReason(status.key, hostOf(session.message_address()), status.reasons);
        status.safe = status.reasons.empty();
        m_instances.emplace(status.key, std::move(status));
    }

    /// Instances that are leaving or out and not registered hold nothing: their lease has ended.
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
            ++m_serving[status.key.failureDomain];
        }
    }

    /// Voters on VMs that are to be switched off together with the given host or failure domain.
    template<class IsLeaving>
    std::string quorumProblem(IsLeaving isLeaving) const
    {
        std::set<ReplicaId> leaving;
        bool isConcerned = m_controllers.empty();
        for (const auto &it : m_controllers) {
            const bool own = it.voter && isLeaving(it);
            isConcerned = isConcerned || own;
            if (own || m_leavingDomains.contains(it.failureDomain)) {
                leaving.insert(it.id);
            }
        }
        return isConcerned ? m_quorum.problemWithout(leaving) : std::string();
    }

    /// A controller may run on the VM of the instance. Where one of the two addresses is unknown, every controller of the failure
    /// domain counts as being there.
    void addControllerReason(const RowKey &key, std::string_view host, std::vector<std::string> &reasons) const
    {
        const auto problem = quorumProblem([&](const ControllerMember &it) {
            return host.empty() || it.host.empty() ? it.failureDomain == key.failureDomain : it.host == host;
        });
        if (!problem.empty()) {
            reasons.push_back(problem);
        }
    }

    void finishDomain(const std::string &name, DomainStatus &domain)
    {
        domain.name = name;
        if (domain.instances == 0) {
            domain.inFlight = 0;
        }
        if (const auto serving = m_serving[name]; serving > 0) {
            domain.reasons.push_back(fmt::format("{} instances are serving", serving));
        } else if (!m_leavingDomains.contains(name)) {
            domain.reasons.emplace_back("its row */" + name + "/* does not say leaving or out, so new instances would serve");
        }
        addWorkReasons(domain.partitions, domain.hotKeys, domain.inFlight, domain.reasons);
        const auto problem = quorumProblem([&name](const ControllerMember &it) { return it.failureDomain == name; });
        if (!problem.empty()) {
            domain.reasons.push_back(problem);
        }
        domain.safe = domain.reasons.empty();
    }

    const View &m_view;
    const InFlightReports &m_inFlight;
    std::span<const ControllerMember> m_controllers;
    internal::QuorumCheck m_quorum;
    WallTime m_now;
    std::set<std::string> m_leavingDomains;
    std::map<std::string, std::uint32_t> m_serving;
};

} // namespace

LeaveStatus
LeaveStatus::compute(const View &view, const InFlightReports &inFlight, std::span<const ControllerMember> controllers, WallTime now)
{
    StatusBuilder builder(view, inFlight, controllers, now);
    builder.run();
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
