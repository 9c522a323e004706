#pragma once

#include "ownership/coordinator.h"
#include "ownership/grant_holds.h"
#include "ownership/lease_table.h"
#include "state/cluster_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Toucandeck::internal
{

/// What the leader remembers of one session of the replicated state. Volatile.
struct SessionRecord
{
    wire::RouterSession session;
    std::optional<TimePoint> lastRenewal;
    /// Last renewal that was answered with an extension.
    std::optional<TimePoint> lastExtension;
    std::uint64_t lastSequence = 0;
    /// Version that the router reported last.
    LogIndex version;
    std::uint32_t inFlight = 0;
    std::uint32_t loadPermille = 0;
    std::vector<wire::HotKeyCount> hotKeys;
    /// Version up to which deltas were sent; 0: the router has to fetch its view first.
    LogIndex sent;
    /// The same at the time of the last renewal: what a renewal after that should report.
    LogIndex sentAtLastRenewal;
    /// ExpireSession is proposed: the lease is never extended again.
    bool expiring = false;
    /// The router has shut down: the lease is never extended again.
    bool closing = false;
    /// A change of the session is proposed.
    bool updating = false;
};

/// State of one leadership that the parts of the coordinator share.
class LeaderContext
{
public:
    explicit LeaderContext(const CoordinatorParts &parts);

    /// Forgets everything of an earlier leadership.
    void reset();

    const View &view() const;
    TimePoint now() const;
    std::int64_t wallMilliseconds() const;

    /// The record, or nullptr.
    SessionRecord *find(SessionId session);
    const SessionRecord *find(SessionId session) const;

    /// Whether the session exists and no end of it is proposed.
    bool isLive(SessionId session) const;

    /// Whether the instance may have partitions: serving, with a backend server, session not about to end.
    bool mayOwn(const Instance &instance) const;

    /// Whether the session's lease was extended so recently that it may get something new.
    bool isFresh(SessionId session) const;

    /// Wait between the end of the lease of this session and a grant of what it owned.
    Duration crashWait(const wire::RouterSession &session) const;

    /// True while the items of this session, as owner, may not be granted to another one.
    bool blocksGrant(SessionId owner) const;

    /// Proposes a command; @p done is not called after reset().
    void propose(const wire::Command &command, Proposer::Done done);

    CoordinatorParts parts;
    LeaseTable leases;
    GrantHolds holds;
    std::map<SessionId, SessionRecord> sessions;

private:
    std::shared_ptr<bool> m_leadership;
};

} // namespace Toucandeck::internal
