#pragma once

#include "gateway/grant_codec.h"

#include "http/backend_connection.h"

#include <functional>
#include <list>
#include <memory>

namespace Toucandeck
{

/// Sends calls about keys to the backend server on this VM, each on a connection of its own while it waits for the answer.
///
/// Calls name no process. So that none reaches another process that has got the address, a connection carries calls only once it is known
/// to end at the process that sends the heartbeats: it was open during a heartbeat, was opened while such a connection was open, or is the
/// first one to a new process and was opened at its heartbeat.
class GrantCaller : public GrantPort
{
public:
    /// @param idHeader name of the header in which the backend server returns the id of a call.
    GrantCaller(EventLoop &loop, const GrantCodec &codec, const SocketAddress &address, std::string idHeader);
    ~GrantCaller() override;

    GrantCaller(const GrantCaller &) = delete;
    GrantCaller &operator=(const GrantCaller &) = delete;

    /// Called when a call can be sent after one could not.
    void setReadyHandler(std::function<void()> handler);

    void onHeartbeat(TimePoint arrival) override;
    void onProcessEnded() override;
    void grant(const GrantCall &call, GrantDone done) override;
    void release(const ReleaseCall &call, ReleaseDone done) override;

    /// Connections opened since the start.
    std::uint64_t openedConnections() const;

private:
    using Answer = std::function<void(GrantOutcome, const HttpResponse &)>;

    struct Link
    {
        std::unique_ptr<BackendConnection> connection;
        bool endsAtProcess = false; ///< It is known to end at the process that sends the heartbeats.
        bool isOpen = true; ///< Neither side has closed it.
        bool isBusy = false;
        TimePoint establishedAt;
        TimePoint busySince;
        EventLoop::Watch timeout;
        Answer answer; ///< Of the call in progress, until its timeout.
    };

    using Links = std::list<Link>;

    void send(const HttpRequest &request, Duration timeout, Answer answer);
    /// Opens another connection unless one is free or about to be.
    void open();
    void onEstablished(Link &link, bool established);
    void finish(Link &link, const BackendResult &result);
    static GrantOutcome outcomeOf(const BackendResult &result);
    void closeUnused();

    EventLoop &m_loop;
    const GrantCodec &m_codec;
    SocketAddress m_address;
    std::string m_idHeader;
    std::function<void()> m_readyHandler;
    Links m_links;
    TimePoint m_lastHeartbeat;
    bool m_hasReachedProcess = false; ///< A connection to the present process was established.
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_openedConnections = 0;
    std::shared_ptr<bool> m_alive; ///< Set to false on destruction.
};

} // namespace Toucandeck
