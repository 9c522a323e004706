#pragma once

#include "ownership/lease_holder.h"
#include "ownership/leave_deadline.h"
#include "ownership/release_tracker.h"
#include "ownership/router_agent.h"
#include "state/view.h"

namespace Toucandeck::internal
{

/// Implementation of RouterAgent.
class AgentCore
{
public:
    AgentCore(const AgentParts &parts, const wire::RouterSession &description);

    void tick();
    void receive(const wire::Envelope &envelope);
    std::optional<Admission> admit(std::string_view service, KeyHash key);
    std::optional<TimePoint> mayServeUnkeyed();
    void completeRelease(const OwnedItems &items);
    void setBackend(bool ready, bool cold);
    void setDescription(const wire::RouterSession &description);
    void setLoad(AgentLoad load);
    void close();
    bool isClosed() const;
    const View &view() const;
    SessionId session() const;
    std::optional<TimePoint> leaseEnd();

private:
    using Handler = void (AgentCore::*)(const wire::Envelope &envelope);
    static Handler handlerOf(wire::Envelope::BodyCase body);

    void handleRegistered(const wire::Envelope &envelope);
    void handleRenewed(const wire::Envelope &envelope);
    void handleSessionEnded(const wire::Envelope &envelope);
    void handleNotLeader(const wire::Envelope &envelope);
    void handleDeltas(const wire::Envelope &envelope);
    void handleFullView(const wire::Envelope &envelope);

    bool checkLease();
    void startSession();
    void endSession();
    void onViewChanged(LogIndex before);
    void updateReleases();
    void updateLeaveDeadline(LogIndex before);
    bool isServing() const;
    bool isDescriptionCurrent() const;
    bool ownsNothing() const;

    void registerWhenDue();
    void renewWhenDue();
    void closeWhenDue();
    void renewNow();
    void sendRegister(bool toAll);
    std::uint64_t sendRenew(bool toAll);
    void sendClose();
    void sendFetchView();
    void sendReleases(bool toAll);
    void send(const wire::Envelope &envelope, bool toAll);

    AgentParts m_parts;
    wire::RouterSession m_description;
    AgentLoad m_load;
    View m_view;
    LeaseHolder m_lease;
    ReleaseTracker m_releases;
    LeaveDeadline m_leaveDeadline;

    SessionId m_candidateSession; ///< Session id with which this incarnation registers.
    SessionId m_session; ///< Session id once registered, otherwise 0.
    std::optional<std::size_t> m_leader; ///< Index of the controller assumed to be the leader.
    TimePoint m_lastSendTime; ///< Of the last Renew or CloseRequest, or of a Register while there is no session.
    TimePoint m_roundStart; ///< Send time of the first Renew of the current round.
    TimePoint m_lastFetchTime;
    TimePoint m_lastReleaseTime;
    std::uint64_t m_roundSequence = 0; ///< Sequence number of that Renew.
    std::optional<TimePoint> m_closeStart;
    bool m_roundAnswered = true;
    bool m_registerSent = false;
    bool m_hadLease = false;
    bool m_wasInView = false; ///< The view has shown the session.
    bool m_renewOnViewChange = false;
    bool m_fetchPending = false;
    bool m_closeSent = false;
    bool m_closed = false;
};

} // namespace Toucandeck::internal
