#pragma once

#include "ownership/router_agent.h"
#include "ownership/virtual_time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::OwnershipRun
{

/// Model of a single global lock per key, in real time: the last holder keeps the key until it has released it or its lease has
/// ended, independently of the state of the controllers.
class Checker
{
public:
    explicit Checker(const VirtualTime &time);

    /// A service whose backend servers check grants needs no further wait after a loss.
    void setFenced(const std::string &service, bool fenced);

    /// The holder received an extension; its lease cannot last beyond @p end.
    void leaseExtended(SessionId session, Duration end);
    void admitted(const std::string &service, KeyHash key, SessionId session, const Admission &admission);
    void released(const std::string &service, KeyHash key, SessionId session);
    /// The session no longer admits requests.
    void closed(SessionId session);

    void domainOut(const std::string &domain, bool out);
    /// New work for an instance of the domain.
    void worked(const std::string &domain);

    void violation(const std::string &text);
    const std::vector<std::string> &violations() const;
    std::uint64_t admissions() const;

private:
    struct Holder
    {
        SessionId session;
        Epoch epoch;
        bool released = false;
    };

    Duration leaseEnd(SessionId session) const;

    const VirtualTime &m_time;
    std::map<std::pair<std::string, KeyHash>, Holder> m_holders;
    std::map<SessionId, Duration> m_leaseEnds;
    std::map<std::string, bool> m_fenced;
    std::map<std::string, Duration> m_outSince;
    std::vector<std::string> m_violations;
    std::uint64_t m_admissions = 0;
};

} // namespace Toucandeck::OwnershipRun
