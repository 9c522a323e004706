#include "gateway/fleet_client.h"

#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };
constexpr milliseconds kAnnounceInterval{ 400 }; ///< Leases last for seconds, so each is renewed many times before it expires.
constexpr milliseconds kAnnounceIntervalUnconnected{ 150 };
constexpr milliseconds kAnswerTimeout{ 700 }; ///< Without an answer for this time another controller is tried.
constexpr std::size_t kMaxSentAnnouncements = 64;

} // namespace

FleetClient::FleetClient(EventLoop &loop,
                         PeerLinks &links,
                         Logger &logger,
                         FleetView &view,
                         LocalInstance &instance,
                         std::string ip,
                         std::string failureDomain,
                         std::vector<std::string> seeds)
    : m_loop(loop)
    , m_links(links)
    , m_logger(logger)
    , m_view(view)
    , m_instance(instance)
    , m_ip(std::move(ip))
    , m_failureDomain(std::move(failureDomain))
    , m_seeds(std::move(seeds))
    , m_selectedAt(loop.clock().now())
    , m_timer(loop.every(kTick, [this] { tick(); }))
{
    // Gateways start with different seeds, so that they do not all contact the same controller.
    m_nextCandidate = std::hash<std::string>()(m_ip);
}

void FleetClient::setSeeds(std::vector<std::string> seeds)
{
    m_seeds = std::move(seeds);
}

void FleetClient::setLeaving()
{
    m_leaving = true;
    scheduleAnnouncement();
}

std::vector<std::string> FleetClient::candidates() const
{
    auto all = m_controllers;
    for (const auto &it : m_seeds) {
        if (std::find(all.begin(), all.end(), it) == all.end()) {
            all.push_back(it);
        }
    }
    return all;
}

void FleetClient::switchController(const std::string &reason)
{
    const auto all = candidates();
    if (m_connected) {
        m_connected = false;
        m_logger.write(GatewayEvents::kControllerLost,
                       { field("controller", m_controller), field("reason", reason), field("term", m_term) });
    }
    if (!m_controller.empty()) {
        m_links.closeConnection(m_controller);
    }
    m_selectedAt = m_loop.clock().now();
    m_reportsDepartures = false;
    m_controller = all.empty() ? std::string() : all[m_nextCandidate++ % all.size()];
}

void FleetClient::tick()
{
    const auto now = m_loop.clock().now();
    // A large update can take longer than the timeout on a slow link.
    const auto lastProgress = std::max({ m_lastAnswer, m_selectedAt, m_links.partialReceiveTime(m_controller).value_or(TimePoint()) });
    if (m_controller.empty() || now - lastProgress > kAnswerTimeout) {
        switchController(m_controller.empty() ? "no controller was selected" : "no answer");
    }
    if (now - m_lastAnnouncement >= (m_connected ? kAnnounceInterval : kAnnounceIntervalUnconnected)) {
        announce();
    }
}

void FleetClient::scheduleAnnouncement()
{
    if (std::exchange(m_announcementScheduled, true)) {
        return;
    }
    m_loop.runSoon([this] {
        m_announcementScheduled = false;
        announce();
    });
}

void FleetClient::announce()
{
    if (m_controller.empty()) {
        return;
    }
    wire::PeerMessage message;
    auto &out = *message.mutable_announce();
    out.set_sequence(++m_sequence);
    out.set_router(m_ip);
    out.set_failure_domain(m_failureDomain);
    *out.mutable_instance() = m_instance.report();
    m_instance.addReleasedKeys(out);
    m_instance.addDemand(out);
    out.set_manifest_version(m_view.manifestVersion());
    out.set_leaving(m_leaving);
    out.set_accepts_compressed(true);
    const auto now = m_loop.clock().now();
    m_lastAnnouncement = now;
    m_sentAnnouncements.push_back({ m_sequence, now });
    if (m_sentAnnouncements.size() > kMaxSentAnnouncements) {
        m_sentAnnouncements.pop_front();
    }
    if (!m_links.send(m_controller, message)) {
        switchController("a connection to its address failed recently");
    }
}

std::optional<TimePoint> FleetClient::sendTimeOf(std::uint64_t sequence) const
{
    const auto it = std::find_if(m_sentAnnouncements.begin(), m_sentAnnouncements.end(), [sequence](const SentAnnouncement &sent) {
        return sent.sequence == sequence;
    });
    return it == m_sentAnnouncements.end() ? std::nullopt : std::optional(it->at);
}

void FleetClient::receive(const std::string &peer, const wire::FleetUpdate &update)
{
    if (update.controllers_size() > 0) {
        m_controllers = { update.controllers().begin(), update.controllers().end() };
    }
    if (peer != m_controller) {
        return;
    }
    if (update.refused()) {
        const auto &leader = update.leader();
        if (m_connected) {
            m_connected = false;
            m_logger.write(GatewayEvents::kControllerLost,
                           { field("controller", peer), field("reason", "it is not the leader"), field("term", m_term) });
        }
        if (!leader.empty() && leader != peer) {
            m_controller = leader;
            m_reportsDepartures = false;
            m_selectedAt = m_loop.clock().now();
            scheduleAnnouncement();
        }
        return;
    }
    if (update.term() < m_term) {
        return;
    }
    m_term = update.term();
    m_lastAnswer = m_loop.clock().now();
    if (!m_connected) {
        m_connected = true;
        m_logger.write(GatewayEvents::kControllerRegained, { field("controller", peer), field("term", m_term) });
    }
    const auto formerVersion = m_view.manifestVersion();
    const bool complete = m_view.apply(update);
    if (m_view.manifestVersion() != formerVersion) {
        m_lastAnnouncement = {}; // The next tick reports the version, for which the confirmation of the order waits.
    }
    if (!complete) {
        m_links.closeConnection(m_controller); // On a new connection the controller sends its complete state.
        scheduleAnnouncement();
    }
    for (const auto &it : update.routers()) {
        if (it.router() == m_ip) {
            m_instance.applyRecord(it.instance());
        }
    }
    if (update.has_departures()) {
        m_reportsDepartures = true;
        m_instance.applyDepartures(update.departures());
    }
    if (update.acknowledged() != 0) {
        m_instance.onAnnouncementAcknowledged(update.acknowledged());
        if (!m_reportsDepartures) {
            m_instance.assumeDeparturesRecorded(); // A controller of an earlier version.
        }
    }
    if (update.has_lease()) {
        if (const auto at = sendTimeOf(update.lease().sequence())) {
            m_instance.applyLease(update.lease(), *at);
        }
    }
}

void FleetClient::onPeerClosed(const std::string &peer)
{
    if (peer == m_controller) {
        switchController("the connection was closed");
    }
}

bool FleetClient::isConnected() const
{
    return m_connected;
}

} // namespace Toucandeck
