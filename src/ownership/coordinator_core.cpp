#include "ownership/coordinator_core.h"

#include "common/assert.h"
#include "ownership/events.h"
#include "ownership/lease.h"

namespace Toucandeck::internal
{

namespace
{

/// Interval of planning without a change of the state: plans also depend on missed renewals and on wall time.
constexpr Duration kPlanInterval = 100ms;
/// Maximum time between two ticks; after a longer one this process counts as paused.
constexpr Duration kPauseThreshold = 5 * kOwnershipTick;
/// Time after a pause in which no session expires, so that queued renewals are processed first.
constexpr Duration kPauseGrace = 5 * kOwnershipTick;

/// A new leader resends the deltas applied within this time, because the old one may have failed before it sent them. Longer than
/// the longest election without a split vote.
constexpr Duration kRepublishAge = 500ms;

} // namespace

CoordinatorCore::CoordinatorCore(const CoordinatorParts &parts)
    : m_context(parts)
    , m_publisher(m_context)
    , m_grants(m_context)
    , m_hotKeys(m_context, m_grants)
    , m_leaveTimes(m_context)
{
}

void CoordinatorCore::onLeadershipGained()
{
    m_context.reset();
    m_registering.clear();
    m_grants.reset();
    m_hotKeys.reset();
    m_leaveTimes.reset();
    m_leading = true;
    m_dirty = true;
    m_lastTick = m_context.now();
    m_expireNotBefore = m_context.now();
    const auto republishSince = m_commitTimes.versionAt(m_context.now() - kRepublishAge);
    // A follower may have applied a command long after its commit, so all commands applied so far may be older than
    // kMaxViewAge.
    m_lastApplied = m_context.view().version();
    m_commitTimes.reset(m_lastApplied);
    for (const auto &[id, session] : m_context.view().sessions()) {
        addSession(session);
        auto &record = *m_context.find(id);
        record.sentVersion = m_context.view().version();
        record.sentVersionAtLastRenewal = record.sentVersion;
        if (republishSince && republishSince < m_lastApplied) {
            m_publisher.sendSince(record, republishSince);
        }
    }
    holdLostItemsInView();
    m_context.parts.logger.write(OwnershipEvents::kLeading, { field("sessions", m_context.sessions.size()) });
}

void CoordinatorCore::holdLostItemsInView()
{
    // The lease had expired before the command that marked the item was proposed, so only the wait for backend servers is left. The
    // removed session no longer shows whether its backend server checked grants, so that the longer wait applies.
    const auto until = m_context.now() + kUnfencedCrashWait;
    for (const auto &service : m_context.view().services()) {
        for (const auto &it : m_context.view().assignments(service)) {
            if (it.crashed()) {
                m_context.holds.hold(service, PartitionId{ it.partition() }, until);
            }
        }
        for (const auto &[key, it] : m_context.view().hotKeys(service)) {
            if (it.crashed()) {
                m_context.holds.hold(service, key, until);
            }
        }
    }
}

void CoordinatorCore::onLeadershipLost()
{
    if (m_leading) {
        m_context.parts.logger.write(OwnershipEvents::kNotLeading, {});
    }
    m_leading = false;
    m_context.reset();
}

void CoordinatorCore::onCommandApplied(LogIndex index, const wire::ViewDelta &delta)
{
    TOUCANDECK_ASSERT(index > m_lastApplied, "versions only grow");
    if (LogIndex{ delta.from_version() } > m_lastApplied) {
        m_commitTimes.reset(LogIndex{ delta.from_version() });
    }
    m_lastApplied = index;
    m_commitTimes.record(index, m_context.now());
    m_publisher.recordDigest(delta);
    if (!m_leading) {
        return;
    }
    m_dirty = true;
    m_grants.onDeltaApplied(delta);
    m_hotKeys.onDeltaApplied(delta);
    for (const auto &it : delta.sessions()) {
        addSession(it);
    }
    for (const auto it : delta.removed_sessions()) {
        removeSession(SessionId{ it }, delta);
    }
    m_publisher.publish(delta);
}

void CoordinatorCore::addSession(const wire::RouterSession &session)
{
    const SessionId id{ session.session() };
    const auto [it, isNew] = m_context.sessions.try_emplace(id);
    it->second.session = session;
    if (isNew) {
        m_context.leases.renew(id, m_context.now());
    }
}

void CoordinatorCore::removeSession(SessionId session, const wire::ViewDelta &delta)
{
    const auto *record = m_context.find(session);
    if (record == nullptr) {
        return;
    }
    // A command of an earlier leader may end a session whose lease this leader has extended since.
    const auto wait = record->closeProposed ? Duration::zero() : m_context.crashWait(record->session);
    holdLostItems(delta, m_context.leases.end(session) + wait);
    sendSessionEnded(record->session.message_address(), session);
    m_context.leases.forget(session);
    m_context.sessions.erase(session);
}

void CoordinatorCore::holdLostItems(const wire::ViewDelta &delta, TimePoint until)
{
    for (const auto &service : delta.services()) {
        for (const auto &it : service.assignments()) {
            if (it.crashed()) {
                m_context.holds.hold(service.service(), PartitionId{ it.partition() }, until);
            }
        }
    }
    for (const auto &it : delta.hot_keys()) {
        if (it.crashed()) {
            m_context.holds.hold(it.service(), KeyHash{ it.key_hash() }, until);
        }
    }
}

void CoordinatorCore::tick()
{
    if (!m_leading) {
        return;
    }
    const auto now = m_context.now();
    if (now - m_lastTick > kPauseThreshold) {
        m_expireNotBefore = now + kPauseGrace;
    }
    m_lastTick = now;
    if (!m_context.parts.leadership.isConfirmedLeader()) {
        return;
    }
    expireSessions();
    const bool holdsExpired = m_context.holds.removeExpired(now);
    if (m_dirty || holdsExpired || now - m_lastPlan >= kPlanInterval) {
        m_dirty = false;
        m_lastPlan = now;
        planAll();
    }
}

void CoordinatorCore::expireSessions()
{
    const auto now = m_context.now();
    if (now < m_expireNotBefore) {
        return;
    }
    for (const auto id : m_context.leases.expiredSessions(now)) {
        auto *record = m_context.find(id);
        if (record == nullptr || record->expiryProposed || record->closeProposed) {
            continue;
        }
        TOUCANDECK_ASSERT(m_context.leases.hasExpired(id, now), "a session expires only after its lease");
        record->expiryProposed = true;
        m_dirty = true;
        m_context.parts.logger.write(OwnershipEvents::kLeaseExpired,
                                     { field("session", id.value), field("instance", record->session.instance()) });
        wire::Command command;
        command.mutable_expire_session()->set_session(id.value);
        m_context.propose(command, [](const CommandAnswer *) {});
    }
}

void CoordinatorCore::planAll()
{
    m_leaveTimes.plan();
    for (const auto &it : m_context.view().services()) {
        m_grants.plan(it);
        m_hotKeys.plan(it);
    }
}

std::vector<SessionStatus> CoordinatorCore::sessions() const
{
    std::vector<SessionStatus> all;
    for (const auto &[id, record] : m_context.sessions) {
        SessionStatus status;
        status.session = id;
        status.service = record.session.service();
        status.failureDomain = record.session.failure_domain();
        status.instance = record.session.instance();
        status.lastRenewal = record.lastRenewal;
        status.leaseEnd = m_context.leases.end(id);
        status.version = record.reportedVersion;
        status.inFlight = record.inFlight;
        status.loadPermille = record.loadPermille;
        status.backendReady = record.session.backend_ready();
        status.cold = record.session.cold();
        all.push_back(std::move(status));
    }
    return all;
}

bool CoordinatorCore::isAppliedEverywhere(LogIndex version) const
{
    for (const auto &[id, record] : m_context.sessions) {
        if (!m_context.leases.hasExpired(id, m_context.now()) && record.reportedVersion < version) {
            return false;
        }
    }
    return m_leading;
}

} // namespace Toucandeck::internal
