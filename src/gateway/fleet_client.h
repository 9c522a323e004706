#pragma once

#include "gateway/fleet_view.h"
#include "gateway/local_instance.h"
#include "link/peer_links.h"

#include <deque>

namespace Toucandeck
{

/// Client of the controllers: announces this gateway to the leader and applies the leader's updates to the view and the local instance.
class FleetClient
{
public:
    /// @param ip and @param failureDomain of this gateway; @param seeds are IP addresses of some controllers.
    FleetClient(EventLoop &loop,
                PeerLinks &links,
                Logger &logger,
                FleetView &view,
                LocalInstance &instance,
                std::string ip,
                std::string failureDomain,
                std::vector<std::string> seeds);

    void setSeeds(std::vector<std::string> seeds);
    void setLeaving();

    /// Sends an announcement at the end of the current iteration of the event loop.
    void scheduleAnnouncement();

    void receive(const std::string &peer, const wire::FleetUpdate &update);
    void onPeerClosed(const std::string &peer);

    /// True while a leading controller answers.
    bool isConnected() const;

private:
    struct SentAnnouncement
    {
        std::uint64_t sequence;
        TimePoint at;
    };

    void tick();
    void announce();
    void switchController(const std::string &reason);
    std::vector<std::string> candidates() const;
    /// Time at which the announcement was sent; none if it is unknown or too old.
    std::optional<TimePoint> sendTimeOf(std::uint64_t sequence) const;

    EventLoop &m_loop;
    PeerLinks &m_links;
    Logger &m_logger;
    FleetView &m_view;
    LocalInstance &m_instance;
    std::string m_ip;
    std::string m_failureDomain;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_controllers; ///< IP addresses, from the last update.
    std::string m_controller; ///< IP address of the controller in use.
    std::size_t m_nextCandidate = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_term = 0;
    std::deque<SentAnnouncement> m_sentAnnouncements;
    TimePoint m_lastAnswer;
    TimePoint m_lastAnnouncement;
    TimePoint m_selectedAt; ///< When the current controller was selected.
    bool m_connected = false;
    bool m_reportsDepartures = false; ///< The controller in use reports which departures it has recorded, first of all.
    bool m_leaving = false;
    bool m_announcementScheduled = false;
    EventLoop::Watch m_timer;
};

} // namespace Toucandeck
