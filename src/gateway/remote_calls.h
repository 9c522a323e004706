#pragma once

#include "gateway/backend_admission.h"
#include "gateway/call_port.h"
#include "link/peer_links.h"

#include <unordered_map>

namespace Toucandeck
{

/// Sends calls to other gateways over peer connections, and calls for the local backend server directly to its admission.
class RemoteCalls : public CallPort
{
public:
    RemoteCalls(EventLoop &loop, PeerLinks &links, BackendAdmission &admission, std::string ownIp);

    std::uint64_t send(const std::string &ip, const Call &call, CallDone done) override;
    void cancel(std::uint64_t id) override;

    void receive(const wire::CallReply &reply);
    /// Handles the end of a connection to a gateway: all pending calls there fail.
    /// @param established true if the calls may have been received, and thus run.
    void onPeerClosed(const std::string &ip, bool established);

private:
    struct Pending
    {
        std::string ip;
        CallDone done;
        std::uint64_t admissionId = 0; ///< Id at the local admission; zero for calls to other gateways.
    };

    void finish(std::uint64_t id, CallResult result);
    void sendLocal(std::uint64_t id, const Call &call);

    EventLoop &m_loop;
    PeerLinks &m_links;
    BackendAdmission &m_admission;
    std::string m_ownIp;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextId = 1;
};

} // namespace Toucandeck
