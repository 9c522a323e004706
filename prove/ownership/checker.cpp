#include "ownership/checker.h"

#include "ownership/lease.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck::OwnershipRun
{

namespace
{

/// Promise P4 of the design.
constexpr Duration kOutBound = 3s;
/// The grantor's clock may run fast while it waits.
constexpr Duration kCrashWait = kUnfencedCrashWait - 1ms;

double ms(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

Checker::Checker(const VirtualTime &time)
    : m_time(time)
{
}

void Checker::setFenced(const std::string &service, bool fenced)
{
    m_fenced[service] = fenced;
}

void Checker::leaseExtended(SessionId session, Duration end)
{
    auto &present = m_leaseEnds[session];
    present = std::max(present, end);
}

Duration Checker::leaseEnd(SessionId session) const
{
    const auto it = m_leaseEnds.find(session);
    return it == m_leaseEnds.end() ? Duration::zero() : it->second;
}

void Checker::admitted(const std::string &service, KeyHash key, SessionId session, const Admission &admission)
{
    ++m_admissions;
    const auto now = m_time.now();
    if (now >= leaseEnd(session)) {
        violation(fmt::format("session {:x} admits {:.3f} ms after its lease end", session.value, ms(now - leaseEnd(session))));
    }
    auto &holder = m_holders[{ service, key }];
    if (holder.session && holder.session != session) {
        const auto wait = m_fenced[service] ? Duration::zero() : kCrashWait;
        if (!holder.released && now < leaseEnd(holder.session) + wait) {
            violation(fmt::format("{} key {:x}: session {:x} admits {:.3f} ms too early, held by {:x}",
                                  service,
                                  key.value,
                                  session.value,
                                  ms(leaseEnd(holder.session) + wait - now),
                                  holder.session.value));
        }
        if (admission.epoch <= holder.epoch) {
            violation(fmt::format("{} key {:x}: epoch {} after {}", service, key.value, admission.epoch.value, holder.epoch.value));
        }
    } else if (admission.epoch < holder.epoch) {
        violation(fmt::format("{} key {:x}: epoch {} after {}", service, key.value, admission.epoch.value, holder.epoch.value));
    }
    holder = { session, admission.epoch, false };
}

void Checker::released(const std::string &service, KeyHash key, SessionId session)
{
    const auto it = m_holders.find({ service, key });
    if (it != m_holders.end() && it->second.session == session) {
        it->second.released = true;
    }
}

void Checker::closed(SessionId session)
{
    for (auto &[key, holder] : m_holders) {
        holder.released = holder.released || holder.session == session;
    }
}

void Checker::domainOut(const std::string &domain, bool out)
{
    if (!out) {
        m_outSince.erase(domain);
    } else {
        m_outSince.try_emplace(domain, m_time.now());
    }
}

void Checker::worked(const std::string &domain)
{
    const auto it = m_outSince.find(domain);
    if (it != m_outSince.end() && m_time.now() - it->second > kOutBound) {
        violation(fmt::format("domain {} works {:.1f} ms after it was taken out", domain, ms(m_time.now() - it->second)));
    }
}

void Checker::violation(const std::string &text)
{
    m_violations.push_back(fmt::format("at {:.3f} ms: {}", ms(m_time.now()), text));
}

const std::vector<std::string> &Checker::violations() const
{
    return m_violations;
}

std::uint64_t Checker::admissions() const
{
    return m_admissions;
}

} // namespace Toucandeck::OwnershipRun
