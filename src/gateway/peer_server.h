#pragma once

#include "gateway/gate.h"
#include "link/listener.h"
#include "link/message_channel.h"

#include <map>
#include <unordered_map>

namespace Toucandeck
{

/// Receives the calls of the other gateways and passes them to the gate.
class PeerServer
{
public:
    /// Errors: Io.
    static Result<std::unique_ptr<PeerServer>> create(EventLoop &loop, Gate &gate, const SocketAddress &address);

    /// Calls that have no reply yet.
    std::size_t pending() const;

private:
    using Channel = std::shared_ptr<MessageChannel>;
    /// Ids at the gate by the ids of the caller.
    using Calls = std::unordered_map<std::uint64_t, std::uint64_t>;

    PeerServer(EventLoop &loop, Gate &gate);
    void accept(int descriptor, const std::string &peer);
    void receive(const Channel &channel, const wire::PeerMessage &message);
    void startCall(const Channel &channel, const wire::CallRequest &request);
    void cancelCall(const Channel &channel, std::uint64_t id);
    void closed(const Channel &channel);

    EventLoop &m_loop;
    Gate &m_gate;
    std::unique_ptr<Listener> m_listener;
    std::map<Channel, Calls> m_channels;
};

} // namespace Toucandeck
