#pragma once

#include "gateway/call_port.h"
#include "gateway/gate.h"
#include "link/peer_links.h"

#include <unordered_map>

namespace Toucandeck
{

/// Carries calls over the connections to the other gateways, and to the own gate without one.
class RemoteCalls : public CallPort
{
public:
    RemoteCalls(EventLoop &loop, PeerLinks &links, Gate &gate, std::string ownIp);

    std::uint64_t send(const std::string &ip, const Call &call, CallDone done) override;
    void cancel(std::uint64_t id) override;

    void receive(const wire::CallReply &reply);
    /// The connection to a gateway has ended; its answers to calls that are under way are lost.
    void peerClosed(const std::string &ip, bool established);

private:
    struct Pending
    {
        std::string ip;
        CallDone done;
        std::uint64_t atGate = 0; ///< Id at the own gate; zero for calls to other gateways.
    };

    void finish(std::uint64_t id, CallResult result);
    void sendLocal(std::uint64_t id, const Call &call);

    EventLoop &m_loop;
    PeerLinks &m_links;
    Gate &m_gate;
    std::string m_ownIp;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextId = 1;
};

} // namespace Toucandeck
