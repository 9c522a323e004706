#include "gateway/peer_server.h"

#include <algorithm>

namespace Toucandeck
{

Result<std::unique_ptr<PeerServer>> PeerServer::create(EventLoop &loop, BackendAdmission &admission, const SocketAddress &address)
{
    std::unique_ptr<PeerServer> server(new PeerServer(loop, admission));
    auto *it = server.get();
    BOOST_LEAF_ASSIGN(server->m_listener,
                      Listener::listen(loop, address, [it](int descriptor, const std::string &peer) { it->accept(descriptor, peer); }));
    return server;
}

PeerServer::PeerServer(EventLoop &loop, BackendAdmission &admission)
    : m_loop(loop)
    , m_admission(admission)
{
}

void PeerServer::setReportSource(ReportSource source)
{
    m_reportSource = std::move(source);
}

void PeerServer::accept(int descriptor, const std::string &peer)
{
    MessageChannel::Handlers handlers;
    handlers.onMessage = [this](const Channel &channel, const wire::PeerMessage &message) { receive(channel, message); };
    handlers.onClosed = [this](const Channel &channel, const std::string &) { onChannelClosed(channel); };
    const auto channel = MessageChannel::accept(m_loop, descriptor, peer, std::move(handlers));
    m_connections[channel];
    if (!m_acceptsCalls) {
        sendGoAway(channel, 0);
    }
}

void PeerServer::receive(const Channel &channel, const wire::PeerMessage &message)
{
    if (message.has_call()) {
        startCall(channel, message.call());
    } else if (message.has_cancel()) {
        cancelCall(channel, message.cancel().call());
    }
}

Duration PeerServer::delayOf(const wire::CallRequest &request, Connection &connection, TimePoint now)
{
    return request.sent_ms() == 0 ? Duration::zero() : connection.transitDelay.excess(std::chrono::milliseconds(request.sent_ms()), now);
}

void PeerServer::startCall(const Channel &channel, const wire::CallRequest &request)
{
    const auto id = request.call();
    if (!m_acceptsCalls) {
        auto result = notRun(wire::LEAVING);
        result.load = m_admission.loadReport();
        reply(channel, id, result); // For callers that do not know GoAway.
        return;
    }
    auto &connection = m_connections[channel];
    connection.lastCall = id;
    connection.calls[id] = 0;
    const auto arrivedAt = m_loop.clock().now();
    auto done = [this, channel, id, arrivedAt, service = request.service()](CallResult result) {
        const auto found = m_connections.find(channel);
        if (found != m_connections.end() && found->second.calls.erase(id) != 0) {
            result.elapsed = std::max<Duration>(m_loop.clock().now() - arrivedAt, std::chrono::microseconds(1)); // Zero is unknown.
            result.peers = m_reportSource ? m_reportSource(service, channel->peer()) : std::vector<PeerReport>();
            reply(channel, id, result);
        }
    };
    // The remaining times in the request count from its sending.
    auto call = fromWire(request, arrivedAt - delayOf(request, connection, arrivedAt));
    call.entry = channel->peer();
    if (call.deadline <= arrivedAt) {
        auto result = notRun(wire::DEADLINE);
        result.load = m_admission.loadReport();
        done(std::move(result));
        return;
    }
    const auto admissionId = m_admission.submit(std::move(call), std::move(done));
    auto &calls = m_connections[channel].calls;
    if (const auto it = calls.find(id); it != calls.end()) {
        it->second = admissionId;
    }
}

void PeerServer::reply(const Channel &channel, std::uint64_t id, const CallResult &result)
{
    wire::PeerMessage message;
    *message.mutable_reply() = toWire(result);
    message.mutable_reply()->set_call(id);
    channel->send(message);
}

void PeerServer::sendGoAway(const Channel &channel, std::uint64_t lastCall)
{
    wire::PeerMessage message;
    message.mutable_go_away()->set_last_call(lastCall);
    channel->send(message);
    m_lastGoAwayTime = m_loop.clock().now();
}

void PeerServer::stopAcceptingCalls()
{
    if (!std::exchange(m_acceptsCalls, false)) {
        return;
    }
    const auto copy = m_connections;
    for (const auto &[channel, connection] : copy) {
        sendGoAway(channel, connection.lastCall);
    }
}

void PeerServer::stopListening()
{
    if (m_listener != nullptr) {
        m_listener->acceptPending();
        m_listener.reset();
    }
}

bool PeerServer::isListening() const
{
    return m_listener != nullptr;
}

void PeerServer::cancelCall(const Channel &channel, std::uint64_t id)
{
    auto &calls = m_connections[channel].calls;
    if (const auto it = calls.find(id); it != calls.end()) {
        const auto admissionId = it->second;
        calls.erase(it);
        m_admission.cancel(admissionId);
    }
}

void PeerServer::onChannelClosed(const Channel &channel)
{
    const auto found = m_connections.find(channel);
    if (found == m_connections.end()) {
        return;
    }
    const auto calls = std::move(found->second.calls);
    m_connections.erase(found);
    for (const auto &[id, admissionId] : calls) {
        m_admission.cancel(admissionId);
    }
}

std::size_t PeerServer::pendingCount() const
{
    std::size_t n = 0;
    for (const auto &[channel, connection] : m_connections) {
        n += connection.calls.size();
    }
    return n;
}

TimePoint PeerServer::lastGoAwayTime() const
{
    return m_lastGoAwayTime;
}

std::size_t PeerServer::connectionCount() const
{
    return m_connections.size();
}

} // namespace Toucandeck
