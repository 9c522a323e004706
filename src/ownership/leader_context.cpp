#include "ownership/leader_context.h"

#include "ownership/lease.h"

namespace Toucandeck::internal
{

namespace
{

/// A session whose last extension is older receives no further items: it has missed a renewal and may be lost.
constexpr Duration kMaxRenewalAge = kRenewInterval + 2 * kRenewTimeout;

} // namespace

LeaderContext::LeaderContext(const CoordinatorParts &coordinatorParts)
    : parts(coordinatorParts)
{
}

void LeaderContext::reset()
{
    leases.clear();
    holds.clear();
    sessions.clear();
    m_leadershipToken = std::make_shared<bool>(true);
}

const View &LeaderContext::view() const
{
    return parts.state.view();
}

TimePoint LeaderContext::now() const
{
    return parts.clock.now();
}

std::int64_t LeaderContext::wallMilliseconds() const
{
    return parts.clock.wallNow().time_since_epoch().count();
}

SessionRecord *LeaderContext::find(SessionId session)
{
    const auto it = sessions.find(session);
    return it == sessions.end() ? nullptr : &it->second;
}

const SessionRecord *LeaderContext::find(SessionId session) const
{
    const auto it = sessions.find(session);
    return it == sessions.end() ? nullptr : &it->second;
}

bool LeaderContext::isLive(SessionId session) const
{
    const auto *record = find(session);
    return record != nullptr && !record->expiryProposed && !record->closeProposed;
}

bool LeaderContext::mayOwn(const Instance &instance) const
{
    return isLive(instance.id) && instance.session->backend_ready() && instance.row.stateAt(parts.clock.wallNow()) == wire::SERVING;
}

bool LeaderContext::isRecentlyRenewed(SessionId session) const
{
    const auto *record = find(session);
    return record != nullptr && record->lastExtension && now() - *record->lastExtension < kMaxRenewalAge;
}

Duration LeaderContext::crashWait(const wire::RouterSession &session) const
{
    const bool fenced = session.fenced() && view().serviceSettings(session.service()).fenced;
    return fenced ? Duration::zero() : kUnfencedCrashWait;
}

bool LeaderContext::blocksGrant(SessionId owner) const
{
    const auto *record = find(owner);
    return record != nullptr && (!record->expiryProposed || now() < leases.end(owner) + crashWait(record->session));
}

void LeaderContext::propose(const wire::Command &command, Proposer::Done done)
{
    const std::weak_ptr<bool> leadership = m_leadershipToken;
    parts.proposer.propose(command, [leadership, done = std::move(done)](const CommandAnswer *answer) {
        if (!leadership.expired()) {
            done(answer);
        }
    });
}

} // namespace Toucandeck::internal
