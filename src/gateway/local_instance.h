#pragma once

#include "gateway/demand_sampler.h"
#include "gateway/gate.h"
#include "gateway/heartbeat.h"

#include "log/logger.h"
#include "runtime/event_loop.h"

#include <functional>
#include <optional>
#include <peer.pb.h>

namespace Toucandeck
{

/// What the manifest and the operators say that concerns the backend server beside this gateway.
struct LocalTerms
{
    bool known = false; ///< A manifest is in force.
    bool evacuated = false; ///< Its failure domain is evacuated.
    bool keyed = false;
    double coldRequestsPerSecond = 0;
    Duration coldPeriod{};
};

/// The backend server beside this gateway: its incarnation, state and keys, from its heartbeats and from the controllers' leases.
class LocalInstance : public GateKeeper
{
public:
    /// Receives the answer to a heartbeat; nothing: the heartbeat renews no keys.
    using Answer = std::function<void(std::optional<HeartbeatAnswer>)>;

    /// @param heartbeatInterval between two heartbeats of the backend server.
    LocalInstance(EventLoop &loop, Logger &logger, std::string address, Duration heartbeatInterval);

    /// Called when the incarnation, its state or its released keys have changed, so that the controllers hear of it at once.
    void setChanged(std::function<void()> changed);
    /// Called when a new incarnation has announced itself.
    void setStarted(std::function<void()> started);

    /// Takes a heartbeat. The answer may wait for a while, so that changes of the keys reach the backend server at once.
    void heartbeat(const Heartbeat &it, Answer answer);
    /// The backend server says that it leaves.
    void deregister(const std::string &instance);
    /// Nobody listens at its address.
    void connectionRefused();

    void setTerms(const LocalTerms &terms);
    /// The gateway itself shuts down and lets nothing more through.
    void setLeaving();

    /// Takes a lease that answers an announcement sent at @p sentAt.
    void applyLease(const wire::LeaseGrant &lease, TimePoint sentAt);
    /// The controllers have recorded the released keys of announcements up to this one.
    void acknowledged(std::uint64_t sequence);

    wire::InstanceReport report() const;
    /// Adds the released keys that are not acknowledged yet.
    void fillReleased(wire::Announce &announce);
    void fillDemand(wire::Announce &announce);

    void countDemand(std::uint32_t key);

    wire::CallReason refusal(const Call &call) const override;
    std::uint32_t slots() const override;
    bool isCold() const override;
    double coldRequestsPerSecond() const override;
    std::string instance() const override;

    /// Its service is divided by key.
    bool isKeyed() const;
    const std::string &service() const;
    bool isPresent() const;
    /// Time since the last heartbeat that counted.
    Duration silence() const;

    void setMeanWork(Duration work);

private:
    struct Incarnation
    {
        std::string name; ///< Unique over time: id, start and a count of presumed ends.
        std::string instance;
        std::int64_t bornMs = 0;
        std::uint64_t sequence = 0;
        std::string service;
        std::uint32_t slots = 0;
        bool draining = false;
        bool deregistered = false;
        TimePoint coldUntil;
        TimePoint lastHeartbeat;
    };

    struct Released
    {
        wire::FreedKeys keys;
        std::uint64_t sentIn = 0; ///< Announcement that first carried it; zero if none did.
    };

    bool isStale(const Heartbeat &it) const;
    void start(const Heartbeat &it);
    void update(const Heartbeat &it);
    void noteReleased(const Heartbeat &it);
    void noteReleased(KeyRange range, std::uint64_t fence, const std::string &handover, std::uint64_t sequence);
    /// What is left of a range without the keys that are held under the fencing token.
    static std::vector<KeyRange> notHeld(KeyRange range, std::uint64_t fence, const std::vector<HeldKeys> &holds);
    std::uint64_t fenceOf(KeyRange range) const;
    std::vector<KeyRow> rowsToHold() const;
    std::optional<HeartbeatAnswer> currentAnswer() const;
    bool mayDelayAnswer(const Heartbeat &it) const;
    void answerPending();
    void sendAnswer(const Answer &answer);
    bool holds(std::uint32_t key) const;

    EventLoop &m_loop;
    Logger &m_logger;
    std::string m_address;
    Duration m_heartbeatAge; ///< What a heartbeat says may be this old before the next one comes.
    Duration m_answerDelay; ///< Longest.
    std::function<void()> m_changed;
    std::function<void()> m_started;
    std::optional<Incarnation> m_current;
    std::optional<Incarnation> m_former; ///< The latest one whose address has refused connections.
    std::string m_ended; ///< Latest incarnation whose process has ended.
    int m_refusals = 0; ///< In a row.
    TimePoint m_firstRefusal;
    int m_presumedEnds = 0;
    LocalTerms m_terms;
    bool m_leaving = false;
    TimePoint m_takenBack; ///< When the failure domain was last taken back.
    std::vector<KeyRow> m_leased; ///< Latest lease of the controllers.
    TimePoint m_leaseEnd;
    std::vector<KeyRow> m_told; ///< Rows in the latest answer to the backend server.
    TimePoint m_toldUntil;
    std::vector<HeldKeys> m_reported; ///< Rows in its latest heartbeat.
    std::vector<Released> m_released;
    DemandSampler m_demand;
    TimePoint m_surgeReported;
    Duration m_meanWork{};
    Answer m_pending;
    EventLoop::Watch m_pendingTimer;
};

} // namespace Toucandeck
