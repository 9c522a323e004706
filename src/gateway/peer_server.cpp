#include "gateway/peer_server.h"

namespace Toucandeck
{

Result<std::unique_ptr<PeerServer>> PeerServer::create(EventLoop &loop, Gate &gate, const SocketAddress &address)
{
    std::unique_ptr<PeerServer> server(new PeerServer(loop, gate));
    auto *it = server.get();
    BOOST_LEAF_ASSIGN(server->m_listener,
                      Listener::listen(loop, address, [it](int descriptor, const std::string &peer) { it->accept(descriptor, peer); }));
    return server;
}

PeerServer::PeerServer(EventLoop &loop, Gate &gate)
    : m_loop(loop)
    , m_gate(gate)
{
}

void PeerServer::accept(int descriptor, const std::string &peer)
{
    MessageChannel::Handlers handlers;
    handlers.received = [this](const Channel &channel, const wire::PeerMessage &message) { receive(channel, message); };
    handlers.closed = [this](const Channel &channel, const std::string &) { closed(channel); };
    m_channels[MessageChannel::accept(m_loop, descriptor, peer, std::move(handlers))];
}

void PeerServer::receive(const Channel &channel, const wire::PeerMessage &message)
{
    if (message.has_call()) {
        startCall(channel, message.call());
    } else if (message.has_cancel()) {
        cancelCall(channel, message.cancel().call());
    }
}

void PeerServer::startCall(const Channel &channel, const wire::CallRequest &request)
{
    auto call = fromWire(request, m_loop.clock().now());
    const auto id = request.call();
    m_channels[channel][id] = 0;
    const auto atGate = m_gate.submit(std::move(call), [this, channel, id](const CallResult &result) {
        const auto found = m_channels.find(channel);
        if (found == m_channels.end() || found->second.erase(id) == 0) {
            return;
        }
        wire::PeerMessage reply;
        *reply.mutable_reply() = toWire(result);
        reply.mutable_reply()->set_call(id);
        channel->send(reply);
    });
    auto &calls = m_channels[channel];
    if (const auto it = calls.find(id); it != calls.end()) {
        it->second = atGate;
    }
}

void PeerServer::cancelCall(const Channel &channel, std::uint64_t id)
{
    auto &calls = m_channels[channel];
    if (const auto it = calls.find(id); it != calls.end()) {
        const auto atGate = it->second;
        calls.erase(it);
        m_gate.cancel(atGate);
    }
}

void PeerServer::closed(const Channel &channel)
{
    const auto found = m_channels.find(channel);
    if (found == m_channels.end()) {
        return;
    }
    const auto calls = std::move(found->second);
    m_channels.erase(found);
    for (const auto &[id, atGate] : calls) {
        m_gate.cancel(atGate);
    }
}

std::size_t PeerServer::pending() const
{
    std::size_t n = 0;
    for (const auto &[channel, calls] : m_channels) {
        n += calls.size();
    }
    return n;
}

} // namespace Toucandeck
