#pragma once

#include "gateway/backend_admission.h"
#include "gateway/call_grants.h"
#include "gateway/demand_sampler.h"
#include "gateway/departures.h"
#include "gateway/heartbeat.h"
#include "gateway/instance_check.h"
#include "gateway/pending_releases.h"

#include "log/logger.h"
#include "manifest/manifest.h"
#include "runtime/event_loop.h"

#include <functional>
#include <map>
#include <optional>
#include <peer.pb.h>

namespace Toucandeck
{

/// Rules for the backend server on this VM, from the manifest and from evacuations by operators.
struct InstancePolicy
{
    bool hasManifest = false; ///< A manifest is in force.
    bool evacuated = false; ///< Its failure domain is evacuated.
    bool keyed = false; ///< Its service is divided by key.
    GrantWay grantWay = GrantWay::HeartbeatAnswer; ///< How the keys reach the backend server.
    double coldRequestsPerSecond = 0;
    Duration coldPeriod{};
};

/// State of the backend server on this VM: its incarnation and keys, from its heartbeats and the controllers' leases.
class LocalInstance : public BackendStatus
{
public:
    /// Receives the answer to a heartbeat; none if the heartbeat renews no keys.
    using AnswerHandler = std::function<void(std::optional<HeartbeatAnswer>)>;

    /// @param identity of the backend server; heartbeats and notices of others are ignored, see InstanceCheck.
    /// @param heartbeatInterval between two heartbeats of the backend server.
    /// @param grantPort is used for services whose keys are granted by calls; it must outlive this object.
    LocalInstance(EventLoop &loop, Logger &logger, GrantPort &grantPort, BackendIdentity identity, Duration heartbeatInterval);

    /// Called when the incarnation, its state or its released keys have changed, so that the controllers are notified at once.
    void setChangeHandler(std::function<void()> handler);
    /// Called after the first heartbeat of a new incarnation.
    void setStartHandler(std::function<void()> handler);

    /// Sets how to find a service in the manifest in force. Without it, only the service of the settings is known.
    void setServiceLookup(InstanceCheck::ServiceLookup lookup);
    /// Call when another manifest is in force: a heartbeat that could not be verified without it may be accepted now.
    void onManifestChanged();

    /// Handles a heartbeat. The answer may be delayed, so that changes of the keys reach the backend server at once.
    /// @param unconfirmed called in place of @p answer if the heartbeat says that the process drains and this could not be recorded in
    /// time.
    void handleHeartbeat(const Heartbeat &it, AnswerHandler answer, std::function<void()> unconfirmed = nullptr);
    /// Handles the notice of a backend server that it stops: its process is draining from now on, also if its first heartbeat comes later.
    /// @param done called once the notice is recorded, or could not be recorded in time; never if the notice is not accepted.
    InstanceVerdict deregister(const DepartureNotice &notice, Departures::Done done);
    /// Handles a refused connection to the backend server's address; after several of them its process counts as terminated.
    void onConnectionRefused();

    void setPolicy(const InstancePolicy &policy);
    /// Refuses all calls from now on, since the gateway is shutting down.
    void setLeaving();

    /// Applies a lease that answers an announcement sent at @p sentAt, from which its duration counts.
    void applyLease(const wire::LeaseGrant &lease, TimePoint sentAt);
    /// Handles the controllers' record of the backend server, which may know from an earlier process of this gateway that one leaves.
    void applyRecord(const wire::InstanceReport &record);
    /// Handles the list of the departures that are in the replicated log.
    void applyDepartures(const wire::RecordedDepartures &departures);
    /// Handles the answer of a controller that does not report which departures it has recorded.
    void assumeDeparturesRecorded();
    /// Handles the controllers' confirmation that they recorded the released keys of all announcements up to this one.
    void onAnnouncementAcknowledged(std::uint64_t sequence);

    wire::InstanceReport report() const;
    /// Adds the released keys that the controllers have not acknowledged.
    void addReleasedKeys(wire::Announce &announce);
    void addDemand(wire::Announce &announce);

    /// Records a call for a key; a surge of demand triggers the change handler.
    void recordDemand(std::uint32_t key);

    wire::CallReason refusal(const Call &call) const override;
    std::uint32_t slots() const override;
    bool isCold() const override;
    double coldRequestsPerSecond() const override;
    std::string instance() const override;

    /// True if its service is divided by key.
    bool isKeyed() const;
    const std::string &service() const;
    bool isPresent() const;
    /// Time since the last accepted heartbeat; zero if there is no backend server.
    Duration timeSinceHeartbeat() const;

    void setMeanServiceTime(Duration serviceTime);
    /// Sets the speed relative to its service's, in thousandths; zero is unknown.
    void setSpeed(std::uint32_t permille);

    /// Number of heartbeats and notices that were ignored for this reason.
    std::uint64_t ignoredMessages(InstanceVerdict reason) const;

    const Departures &departures() const;
    const CallGrants &callGrants() const;
    /// Sends the calls about keys that are due, for services whose keys are granted by calls.
    void updateCallGrants();

private:
    struct Incarnation
    {
        std::string name; ///< Unique over time: id, start time and number of presumed terminations.
        std::string instance;
        std::int64_t startUnixMs = 0;
        std::uint64_t sequence = 0;
        std::string service;
        std::uint32_t slots = 0;
        bool listsKeys = true; ///< As in Heartbeat.
        bool draining = false;
        bool deregistered = false;
        TimePoint coldUntil;
        TimePoint lastHeartbeat;
    };

    struct UnverifiedHeartbeat
    {
        Heartbeat heartbeat;
        TimePoint receivedAt;
    };

    void startLeaving();
    /// Has the current process leave if it is known to.
    void leaveIfKnown();
    /// Name for the process that gives notice.
    std::string departingIncarnation(const std::string &instance, std::optional<std::int64_t> startUnixMs) const;
    void confirmDeparture(const std::string &incarnation, Departures::Done done);
    /// Answers the heartbeat of a process that drains once this is recorded.
    void answerDeparting(const std::string &incarnation, AnswerHandler answer, std::function<void()> unconfirmed);
    InstanceCheck::Context checkContext() const;
    /// Counts a message that is not accepted. Returns @p verdict.
    InstanceVerdict count(InstanceVerdict verdict);
    void handleIgnored(const Heartbeat &it, InstanceVerdict verdict, AnswerHandler answer, std::function<void()> unconfirmed);
    void startIncarnation(const Heartbeat &it);
    void updateIncarnation(const Heartbeat &it);
    std::vector<KeyRow> rowsToHold() const;
    std::optional<HeartbeatAnswer> currentAnswer() const;
    bool mayDelayAnswer(const Heartbeat &it) const;
    void answerPending();
    bool grantsByCall() const;
    /// True if the latest answer to a heartbeat granted the key and the grant has not expired.
    bool holdsByHeartbeatAnswer(std::uint32_t key) const;
    void sendAnswer(const AnswerHandler &answer);
    bool holdsKey(std::uint32_t key) const;

    EventLoop &m_loop;
    Logger &m_logger;
    GrantPort &m_grantPort;
    InstanceCheck m_check;
    std::map<InstanceVerdict, std::uint64_t> m_ignoredMessages;
    std::optional<UnverifiedHeartbeat> m_unverified; ///< The latest one.
    Duration m_maxHeartbeatAge; ///< Maximum age of the state in the latest heartbeat, just before the next one.
    Duration m_maxAnswerDelay;
    std::function<void()> m_changeHandler;
    std::function<void()> m_startHandler;
    std::optional<Incarnation> m_current;
    std::optional<Incarnation> m_previous; ///< Last incarnation that was presumed terminated; its late heartbeats are ignored.
    LeavingProcesses m_leavingProcesses; ///< Never used again.
    Departures m_departures;
    std::string m_terminatedIncarnation; ///< Last incarnation whose process has terminated.
    int m_connectionRefusals = 0; ///< Consecutive.
    TimePoint m_firstRefusal;
    int m_presumedTerminations = 0;
    InstancePolicy m_policy;
    bool m_leaving = false;
    TimePoint m_evacuationEnd; ///< When the last evacuation of the failure domain ended.
    std::vector<KeyRow> m_leasedRows; ///< Rows of the latest lease.
    TimePoint m_leaseExpiry;
    std::uint64_t m_leaseSequence = 0; ///< Of the announcement that the latest lease answers.
    std::vector<KeyRow> m_sentRows; ///< Rows in the latest answer to the backend server.
    TimePoint m_sentRowsExpiry; ///< End of the hold time in the latest answer.
    std::vector<HeldKeys> m_reportedHolds; ///< Keys held according to its latest heartbeat.
    PendingReleases m_pendingReleases;
    TimePoint m_createdAt;
    bool m_isFirstIncarnation = true; ///< It may have been granted keys by an earlier process of this gateway.
    CallGrants m_callGrants;
    EventLoop::Watch m_callGrantsTimer;
    DemandSampler m_demand;
    TimePoint m_lastSurgeReport;
    Duration m_meanServiceTime{};
    std::uint32_t m_speedPermille = 0;
    AnswerHandler m_pendingAnswer;
    EventLoop::Watch m_pendingAnswerTimer;
};

} // namespace Toucandeck
