#include "gateway/peer_server.h"

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

void PeerServer::accept(int descriptor, const std::string &peer)
{
    MessageChannel::Handlers handlers;
    handlers.onMessage = [this](const Channel &channel, const wire::PeerMessage &message) { receive(channel, message); };
    handlers.onClosed = [this](const Channel &channel, const std::string &) { onChannelClosed(channel); };
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
    const auto admissionId = m_admission.submit(std::move(call), [this, channel, id](const CallResult &result) {
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
        it->second = admissionId;
    }
}

void PeerServer::cancelCall(const Channel &channel, std::uint64_t id)
{
    auto &calls = m_channels[channel];
    if (const auto it = calls.find(id); it != calls.end()) {
        const auto admissionId = it->second;
        calls.erase(it);
        m_admission.cancel(admissionId);
    }
}

void PeerServer::onChannelClosed(const Channel &channel)
{
    const auto found = m_channels.find(channel);
    if (found == m_channels.end()) {
        return;
    }
    const auto calls = std::move(found->second);
    m_channels.erase(found);
    for (const auto &[id, admissionId] : calls) {
        m_admission.cancel(admissionId);
    }
}

std::size_t PeerServer::pendingCount() const
{
    std::size_t n = 0;
    for (const auto &[channel, calls] : m_channels) {
        n += calls.size();
    }
    return n;
}

} // namespace Toucandeck
