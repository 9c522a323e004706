#pragma once

#include "gateway/backend_admission.h"
#include "gateway/transit_delay.h"
#include "link/listener.h"
#include "link/message_channel.h"

#include <map>
#include <unordered_map>

namespace Toucandeck
{

/// Receives the calls of other gateways and submits them to the admission of the local backend server.
class PeerServer
{
public:
    /// Errors: Io.
    static Result<std::unique_ptr<PeerServer>> create(EventLoop &loop, BackendAdmission &admission, const SocketAddress &address);

    /// Yields the reports of other backend servers that a reply to this gateway passes on.
    using ReportSource = std::function<std::vector<PeerReport>(const std::string &service, const std::string &receiver)>;

    void setReportSource(ReportSource source);

    /// Number of calls without a reply.
    std::size_t pendingCount() const;
    std::size_t connectionCount() const;
    /// Time at which a caller was last told that further calls are not run.
    TimePoint lastGoAwayTime() const;

    /// For graceful shutdown: further calls are not run, and the callers are told so. They close their connections once they have the
    /// replies to the calls that were accepted before.
    void stopAcceptingCalls();
    /// Stops accepting connections, after those that are established already.
    void stopListening();
    bool isListening() const;

private:
    using Channel = std::shared_ptr<MessageChannel>;
    struct Connection
    {
        std::unordered_map<std::uint64_t, std::uint64_t> calls; ///< Ids at the admission by the ids of the caller.
        std::uint64_t lastCall = 0; ///< Id of the latest call; callers assign increasing ids.
        TransitDelay transitDelay;
    };

    PeerServer(EventLoop &loop, BackendAdmission &admission);
    void accept(int descriptor, const std::string &peer);
    void receive(const Channel &channel, const wire::PeerMessage &message);
    void startCall(const Channel &channel, const wire::CallRequest &request);
    /// Time that the call was on its way beyond the usual.
    static Duration delayOf(const wire::CallRequest &request, Connection &connection, TimePoint now);
    static void reply(const Channel &channel, std::uint64_t id, const CallResult &result);
    void sendGoAway(const Channel &channel, std::uint64_t lastCall);
    void cancelCall(const Channel &channel, std::uint64_t id);
    void onChannelClosed(const Channel &channel);

    EventLoop &m_loop;
    BackendAdmission &m_admission;
    ReportSource m_reportSource;
    std::unique_ptr<Listener> m_listener;
    std::map<Channel, Connection> m_connections;
    bool m_acceptsCalls = true;
    TimePoint m_lastGoAwayTime;
};

} // namespace Toucandeck
