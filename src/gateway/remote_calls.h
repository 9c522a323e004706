#pragma once

#include "gateway/backend_admission.h"
#include "gateway/call_port.h"
#include "link/peer_links.h"

#include <unordered_map>

namespace Toucandeck
{

/// Sends calls to other gateways over peer connections, and calls for the local backend server directly to its admission.
class RemoteCalls : public CallPort, public ConnectionObserver
{
public:
    RemoteCalls(EventLoop &loop, PeerLinks &links, BackendAdmission &admission, std::string ownIp);
    ~RemoteCalls() override;

    RemoteCalls(const RemoteCalls &) = delete;
    RemoteCalls &operator=(const RemoteCalls &) = delete;

    std::uint64_t send(const std::string &ip, const Call &call, CallDone done) override;
    void setSilenceHandler(std::function<void(std::uint64_t id)> handler) override;
    void cancel(std::uint64_t id) override;

    void receive(const wire::CallReply &reply);
    /// All calls without an answer on the connection fail; if it was established, they may have run.
    void onConnectionClosed(ConnectionId connection, bool established) override;
    void onConnectionSilent(ConnectionId connection) override;
    void onGoAway(ConnectionId connection, std::uint64_t lastCall) override;

private:
    struct Pending
    {
        std::string ip;
        CallDone done;
        std::uint64_t admissionId = 0; ///< Id at the local admission; zero for calls to other gateways.
        ConnectionId connection = 0; ///< Zero for local calls.
    };

    void finish(std::uint64_t id, CallResult result);
    /// Ids of the calls on the connection that are above @p first.
    std::vector<std::uint64_t> pendingOn(ConnectionId connection, std::uint64_t first) const;
    void sendLocal(std::uint64_t id, const Call &call);

    EventLoop &m_loop;
    PeerLinks &m_links;
    BackendAdmission &m_admission;
    std::string m_ownIp;
    std::function<void(std::uint64_t id)> m_silenceHandler;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextId = 1;
};

} // namespace Toucandeck
