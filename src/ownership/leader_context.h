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

/// The leader's record of one session of the replicated state. Kept in memory only.
struct SessionRecord
{
    wire::RouterSession session;
    /// Receipt time of the last renewal.
    std::optional<TimePoint> lastRenewal;
    /// Receipt time of the last renewal that extended the lease.
    std::optional<TimePoint> lastExtension;
    std::uint64_t lastSequence = 0;
    /// Version reported with the last renewal.
    LogIndex reportedVersion;
    std::uint32_t inFlight = 0;
    std::uint32_t loadPermille = 0;
    std::vector<wire::HotKeyCount> hotKeys;
    /// Version up to which deltas were sent; 0: the router has to fetch its view first.
    LogIndex sentVersion;
    /// Value of sentVersion at the last renewal, which the next renewal is expected to report.
    LogIndex sentVersionAtLastRenewal;
    /// ExpireSession is proposed: the lease is never extended again.
    bool expiryProposed = false;
    /// The router has shut down and CloseSession is proposed: the lease is never extended again.
    bool closeProposed = false;
    /// An update of the flags of the session is proposed.
    bool updateProposed = false;
};

/// State of one leadership, shared by the parts of the coordinator.
class LeaderContext
{
public:
    explicit LeaderContext(const CoordinatorParts &parts);

    /// Discards the state of an earlier leadership.
    void reset();

    const View &view() const;
    TimePoint now() const;
    std::int64_t wallMilliseconds() const;

    /// The record of the session, or nullptr.
    SessionRecord *find(SessionId session);
    const SessionRecord *find(SessionId session) const;

    /// Whether the session exists and neither its expiry nor its close is proposed.
    bool isLive(SessionId session) const;

    /// Whether the instance may own partitions: it is serving, its backend server is ready and its session is live.
    bool mayOwn(const Instance &instance) const;

    /// Whether the session's lease was extended recently enough for the session to receive more items.
    bool isRecentlyRenewed(SessionId session) const;

    /// Time to wait after the end of this session's lease before its items are granted to another session.
    Duration crashWait(const wire::RouterSession &session) const;

    /// True while the items owned by this session may not be granted to another one.
    bool blocksGrant(SessionId owner) const;

    /// Proposes a command; @p done is not called after reset().
    void propose(const wire::Command &command, Proposer::Done done);

    CoordinatorParts parts;
    LeaseTable leases;
    GrantHolds holds;
    std::map<SessionId, SessionRecord> sessions;

private:
    std::shared_ptr<bool> m_leadershipToken; ///< Replaced at reset(); callbacks of an earlier leadership find theirs expired.
};

} // namespace Toucandeck::internal
