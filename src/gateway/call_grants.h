#pragma once

#include "gateway/grant_port.h"
#include "gateway/heartbeat.h"

#include "common/clock.h"
#include "log/logger.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Number of calls about keys since the start of the process.
struct GrantCounters
{
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t releases = 0; ///< Calls that take keys back.
};

/// Grants the keys of a lease to the backend server by calls, renews the grants and takes keys back that are not in the lease any more.
///
/// A grant without an answer may be applied seconds later, even after a release that was answered. Keys are therefore reported as released
/// only when no call that is sent and not answered can bring them into force again.
class CallGrants
{
public:
    /// Receives keys that the backend server does not hold any more and cannot hold again under this fencing token.
    using ReleasedHandler = std::function<void(const HeldKeys &keys, const std::string &handover)>;

    CallGrants(const Clock &clock, Logger &logger, GrantPort &port);
    ~CallGrants();

    CallGrants(const CallGrants &) = delete;
    CallGrants &operator=(const CallGrants &) = delete;

    void setReleasedHandler(ReleasedHandler handler);

    /// Forgets everything: another process, which holds no keys, has the address of the backend server.
    void clear();

    /// Until then, grants of an earlier process of this gateway may be applied, to any key.
    void setEarlierGrantsEnd(TimePoint end);

    /// Records rows that the backend server holds by other means than calls.
    void recordHeld(const std::vector<KeyRow> &rows, TimePoint end);

    /// Sets the rows that the backend server is to hold until @p expiry of the lease, and sends what is due.
    void setRows(const std::vector<KeyRow> &rows, TimePoint expiry);

    /// Sends what is due and reports released keys. Call it several times a second.
    void tick();

    /// True if the backend server holds the key and the lease still names it.
    bool holds(std::uint32_t key) const;

    /// Time after which no unanswered grant of any of the keys can be in force; in the past if there is none.
    TimePoint unansweredEnd(KeyRange range) const;

    /// Time since the oldest unanswered grant that may still be in force was sent; zero if there is none.
    Duration oldestUnanswered() const;

    const GrantCounters &counters() const;

private:
    enum class SentState {
        InFlight,
        Accepted,
        Unanswered,
    };

    /// A grant that was sent and may be in force.
    struct Sent
    {
        std::uint64_t id = 0;
        KeyRange range;
        std::uint64_t fencingToken = 0;
        TimePoint at;
        TimePoint holdEnd; ///< By this gateway's clock, the backend server holds the keys at least until then.
        TimePoint latestEnd; ///< The grant is not in force any more, by the slowest permitted clock.
        SentState state = SentState::InFlight;
    };

    /// Keys that the backend server is to release.
    struct Release
    {
        std::uint64_t id = 0;
        KeyRange range;
        std::uint64_t fencingToken = 0;
        std::string handover;
        TimePoint lastSent;
        bool inFlight = false;
        bool answered = false;
    };

    /// A row that the backend server has refused; it is not granted again under this fencing token.
    struct Refused
    {
        KeyRange range;
        std::uint64_t fencingToken = 0;
        TimePoint at;
    };

    void forgetEnded();
    void startReleases();
    void startRelease(KeyRange range, std::uint64_t fencingToken);
    void sendReleases();
    void sendRelease(Release &release);
    void reportReleased();
    void sendGrants();
    void sendGrant(const KeyRow &row, Duration holdTime);
    void onGrantDone(std::uint64_t id, GrantOutcome outcome);
    void onReleaseDone(std::uint64_t id, GrantOutcome outcome, const std::string &handover);
    /// The rows without the keys that are being released or were refused under the same fencing token.
    std::vector<KeyRow> rowsToGrant() const;
    bool isDue(const KeyRow &row) const;
    bool isInFlight(KeyRange range) const;
    /// True if a grant of one of the keys under the fencing token may be in force.
    bool mayBeHeld(KeyRange range, std::uint64_t fencingToken) const;
    void logGrant(const Sent &sent, GrantOutcome outcome) const;

    const Clock &m_clock;
    Logger &m_logger;
    GrantPort &m_port;
    ReleasedHandler m_releasedHandler;
    std::vector<KeyRow> m_rows;
    TimePoint m_expiry;
    TimePoint m_earlierGrantsEnd;
    std::vector<Sent> m_sent;
    std::vector<Release> m_releases;
    std::vector<Refused> m_refused;
    std::uint64_t m_lastId = 0;
    GrantCounters m_counters;
    std::shared_ptr<bool> m_alive; ///< Set to false on destruction; answers may come later.
};

} // namespace Toucandeck
