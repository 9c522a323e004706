#pragma once

#include "common/clock.h"
#include "common/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Toucandeck
{

/// What a backend server says about itself.
struct Announcement
{
    std::string service;
    std::string instance;
    std::string address; ///< "IP:PORT" for work.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool fenced = false; ///< It checks grants.
    bool cold = false;

    bool operator==(const Announcement &) const = default;
};

/// Reads the JSON body of an announcement. Fails with InvalidArgument and the field that is wrong.
Result<Announcement> parseAnnouncement(const std::string &body);

/// Whether the backend server beside this router is there.
class BackendPresence
{
public:
    enum class State {
        Absent,
        Present,
        Leaving, ///< Announced its departure; what it owns moves away.
    };

    explicit BackendPresence(const Clock &clock);

    /// True if the facts or the state changed.
    bool announced(Announcement announcement);
    /// DELETE of the announcement. False if there is none.
    bool leaving();
    /// A connection was refused. True if the state changed.
    bool refused();
    /// True if the backend server has just missed too many announcements.
    bool checkMissed();

    State state() const;
    /// Latest announcement; kept after the loss, because requests may still be in flight.
    const std::optional<Announcement> &latest() const;

private:
    const Clock &m_clock;
    State m_state = State::Absent;
    std::optional<Announcement> m_latest;
    TimePoint m_lastSeen;
};

} // namespace Toucandeck
