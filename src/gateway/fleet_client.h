#pragma once

#include "gateway/fleet_view.h"
#include "gateway/local_instance.h"
#include "link/peer_links.h"

#include <deque>

namespace Toucandeck
{

/// The gateway's side of the conversation with the controllers: announces itself to the leader and passes on what it answers.
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

    /// Announces at once, at the end of this iteration of the event loop.
    void announceSoon();

    void receive(const std::string &peer, const wire::FleetUpdate &update);
    void peerClosed(const std::string &peer);

    /// A leading controller has answered lately.
    bool isConnected() const;

private:
    struct Sent
    {
        std::uint64_t sequence;
        TimePoint at;
    };

    void tick();
    void announce();
    void tryNext(const std::string &reason);
    std::vector<std::string> candidates() const;
    std::optional<TimePoint> sentAt(std::uint64_t sequence) const;

    EventLoop &m_loop;
    PeerLinks &m_links;
    Logger &m_logger;
    FleetView &m_view;
    LocalInstance &m_instance;
    std::string m_ip;
    std::string m_failureDomain;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_controllers; ///< As the last update named them.
    std::string m_current; ///< IP address of the controller in use.
    std::size_t m_nextCandidate = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_term = 0;
    std::deque<Sent> m_sent;
    TimePoint m_lastAnswer;
    TimePoint m_lastSent;
    TimePoint m_triedSince; ///< When the present controller was chosen.
    bool m_connected = false;
    bool m_leaving = false;
    bool m_announcing = false;
    EventLoop::Watch m_timer;
};

} // namespace Toucandeck
