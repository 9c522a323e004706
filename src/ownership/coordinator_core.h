#pragma once

#include "ownership/commit_times.h"
#include "ownership/delta_publisher.h"
#include "ownership/grant_planner.h"
#include "ownership/hot_key_moves.h"
#include "ownership/leader_context.h"
#include "ownership/leave_times.h"

#include <set>
#include <string>

namespace Toucandeck::internal
{

/// Implementation of Coordinator.
///
/// A deposed leader cannot extend a lease that the new leader considers expired. The new leader counts every lease from its election
/// at time E, and the holder counts from the time S at which it sent the renewal. Only a renewal with S > E that the old leader
/// answers could outlive the new leader's count. The old leader answers at a time T > S only if isConfirmedLeader(): a quorum
/// acknowledged heartbeats sent within the last minimum election timeout before T, and refuses votes for that timeout after each
/// heartbeat. So no other leader was elected before T, which means E > T > S. A pause between the check and the answer changes
/// nothing, because S lies before the check.
class CoordinatorCore
{
public:
    explicit CoordinatorCore(const CoordinatorParts &parts);

    void onLeadershipGained();
    void onLeadershipLost();
    void receive(const std::string &sender, const wire::Envelope &envelope);
    void onCommandApplied(LogIndex index, const wire::ViewDelta &delta);
    void tick();
    std::vector<SessionStatus> sessions() const;
    bool isAppliedEverywhere(LogIndex version) const;

private:
    using Handler = void (CoordinatorCore::*)(const std::string &sender, const wire::Envelope &envelope);
    static Handler handlerOf(wire::Envelope::BodyCase body);

    void handleRegister(const std::string &sender, const wire::Envelope &envelope);
    void handleRenew(const std::string &sender, const wire::Envelope &envelope);
    void handleRelease(const std::string &sender, const wire::Envelope &envelope);
    void handleClose(const std::string &sender, const wire::Envelope &envelope);
    void handleFetchView(const std::string &sender, const wire::Envelope &envelope);

    void registerSession(wire::RouterSession session);
    void sendRegistered(SessionId session);
    void sendSessionEnded(const std::string &address, SessionId session);
    bool mayExtend(const SessionRecord &record, const wire::Renew &renew);
    void sendRenewed(SessionRecord &record, const wire::Renew &renew, bool extended);
    void recordRenewal(SessionRecord &record, const wire::Renew &renew);
    void updateFlags(SessionRecord &record, const wire::Renew &renew);

    void addSession(const wire::RouterSession &session);
    void removeSession(SessionId session, const wire::ViewDelta &delta);
    void holdLostItems(const wire::ViewDelta &delta, TimePoint until);
    void holdLostItemsInView();

    void expireSessions();
    void planAll();

    LeaderContext m_context;
    CommitTimes m_commitTimes;
    DeltaPublisher m_publisher;
    GrantPlanner m_grants;
    HotKeyMoves m_hotKeys;
    LeaveTimes m_leaveTimes;
    std::set<SessionId> m_registering;
    LogIndex m_lastApplied;
    TimePoint m_lastTick;
    TimePoint m_lastPlan;
    TimePoint m_expireNotBefore;
    bool m_leading = false;
    bool m_dirty = false;
};

} // namespace Toucandeck::internal
