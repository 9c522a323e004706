#pragma once

#include "common/clock.h"
#include "common/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Toucandeck
{

/// Self-description that a backend server announces to the router on its VM.
struct Announcement
{
    std::string service;
    std::string instance;
    std::string address; ///< "IP:PORT" that accepts requests.
    std::uint32_t slots = 0; ///< Maximum number of requests in flight.
    std::uint32_t connections = 0; ///< Maximum number of open connections.
    bool fenced = false; ///< It checks the grant in the headers of each request (fencing).
    bool cold = false; ///< It announces a cold start.

    bool operator==(const Announcement &) const = default;
};

/// Reads the JSON body of an announcement. Fails with InvalidArgument and the field that is wrong.
Result<Announcement> parseAnnouncement(const std::string &body);

/// Tracks whether the backend server on the VM of this router is available, and decides whose announcements are its own. Any program on the
/// VM can send announcements, so one that is not accepted must change nothing.
class BackendPresence
{
public:
    enum class State {
        Absent,
        Present,
        Leaving, ///< Withdrew its announcement; its partitions move to other instances.
    };

    /// A backend server that withdrew its announcement and is not drained is replaced only by itself until it has announced nothing for
    /// this time: it may still work, and its partitions are being moved.
    static constexpr std::chrono::seconds kLeaveTimeout{ 60 };

    /// @param service of the backend server according to the settings; empty for any.
    explicit BackendPresence(const Clock &clock, std::string service = {});

    /// Checks that an announcement is of the backend server, or of its successor once it is lost or drained. Errors: Conflict, if the
    /// announcement is of another service, instance or address.
    Result<void> checkSender(const Announcement &announcement) const;

    /// Handles an announcement that checkSender() accepts. Returns true if its content or the state changed.
    bool onAnnounced(Announcement announcement);
    /// Handles the DELETE of the announcement. Returns false if there is none.
    bool onWithdrawn();
    /// Call once a leaving backend server has no work and no partitions left. Another one may take its place from now on.
    void onDrained();
    /// Marks the backend server as absent after a refused connection or missed announcements. Returns true if the state changed.
    bool markAbsent();
    /// Marks a present backend server as absent if its announcements are overdue. Returns true if the state changed.
    bool checkAnnouncementTimeout();

    State state() const;
    /// Latest announcement. Kept while the backend server is absent, because requests may still be in flight.
    const std::optional<Announcement> &latestAnnouncement() const;

private:
    bool mayBeReplaced() const;

    const Clock &m_clock;
    std::string m_service; ///< Empty for any.
    State m_state = State::Absent;
    std::optional<Announcement> m_latestAnnouncement;
    TimePoint m_lastAnnouncementTime;
    bool m_isDrained = false; ///< Since its withdrawal.
};

} // namespace Toucandeck
