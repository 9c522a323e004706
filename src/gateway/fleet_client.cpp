#include "gateway/fleet_client.h"

#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };
constexpr milliseconds kAnnounceInterval{ 400 }; ///< A lease of seconds is renewed many times before it ends.
constexpr milliseconds kAnnounceUnconnected{ 150 };
constexpr milliseconds kAnswerLimit{ 700 }; ///< Without an answer for this long another controller is tried.
constexpr std::size_t kSentKept = 64;

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
    , m_triedSince(loop.clock().now())
    , m_timer(loop.every(kTick, [this] { tick(); }))
{
    // Gateways begin with different seeds, so that they do not all ask the same one.
    m_nextCandidate = std::hash<std::string>()(m_ip);
}

void FleetClient::setSeeds(std::vector<std::string> seeds)
{
    m_seeds = std::move(seeds);
}

void FleetClient::setLeaving()
{
    m_leaving = true;
    announceSoon();
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

void FleetClient::tryNext(const std::string &reason)
{
    const auto all = candidates();
    if (m_connected) {
        m_connected = false;
        m_logger.write(GatewayEvents::kControllerLost, { field("controller", m_current), field("reason", reason), field("term", m_term) });
    }
    if (!m_current.empty()) {
        m_links.drop(m_current);
    }
    m_triedSince = m_loop.clock().now();
    m_current = all.empty() ? std::string() : all[m_nextCandidate++ % all.size()];
}

void FleetClient::tick()
{
    const auto now = m_loop.clock().now();
    if (m_current.empty() || now - std::max(m_lastAnswer, m_triedSince) > kAnswerLimit) {
        tryNext(m_current.empty() ? "none was chosen" : "no answer");
    }
    if (now - m_lastSent >= (m_connected ? kAnnounceInterval : kAnnounceUnconnected)) {
        announce();
    }
}

void FleetClient::announceSoon()
{
    if (std::exchange(m_announcing, true)) {
        return;
    }
    m_loop.runSoon([this] {
        m_announcing = false;
        announce();
    });
}

void FleetClient::announce()
{
    if (m_current.empty()) {
        return;
    }
    wire::PeerMessage message;
    auto &out = *message.mutable_announce();
    out.set_sequence(++m_sequence);
    out.set_router(m_ip);
    out.set_failure_domain(m_failureDomain);
    *out.mutable_instance() = m_instance.report();
    m_instance.fillReleased(out);
    m_instance.fillDemand(out);
    out.set_manifest_version(m_view.manifestVersion());
    out.set_leaving(m_leaving);
    const auto now = m_loop.clock().now();
    m_lastSent = now;
    m_sent.push_back({ m_sequence, now });
    if (m_sent.size() > kSentKept) {
        m_sent.pop_front();
    }
    if (!m_links.send(m_current, message)) {
        tryNext("its address has just failed");
    }
}

std::optional<TimePoint> FleetClient::sentAt(std::uint64_t sequence) const
{
    const auto it = std::find_if(m_sent.begin(), m_sent.end(), [sequence](const Sent &sent) { return sent.sequence == sequence; });
    return it == m_sent.end() ? std::nullopt : std::optional(it->at);
}

void FleetClient::receive(const std::string &peer, const wire::FleetUpdate &update)
{
    if (update.controllers_size() > 0) {
        m_controllers = { update.controllers().begin(), update.controllers().end() };
    }
    if (peer != m_current) {
        return;
    }
    if (update.refused()) {
        const auto &leader = update.leader();
        if (m_connected) {
            m_connected = false;
            m_logger.write(GatewayEvents::kControllerLost,
                           { field("controller", peer), field("reason", "it does not lead"), field("term", m_term) });
        }
        if (!leader.empty() && leader != peer) {
            m_current = leader;
            m_triedSince = m_loop.clock().now();
            announceSoon();
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
    if (!m_view.apply(update)) {
        m_links.drop(m_current); // A new connection starts with the whole.
        announceSoon();
    }
    if (update.acknowledged() != 0) {
        m_instance.acknowledged(update.acknowledged());
    }
    if (update.has_lease()) {
        if (const auto at = sentAt(update.lease().sequence())) {
            m_instance.applyLease(update.lease(), *at);
        }
    }
}

void FleetClient::peerClosed(const std::string &peer)
{
    if (peer == m_current) {
        tryNext("the connection ended");
    }
}

bool FleetClient::isConnected() const
{
    return m_connected;
}

} // namespace Toucandeck
