#pragma once

#include "gateway/backend_port.h"
#include "gateway/header_names.h"
#include "http/backend_connection.h"
#include "log/logger.h"

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

namespace Toucandeck
{

/// Sends calls to the backend server over persistent connections, one call at a time on each.
class BackendRunner : public BackendPort
{
public:
    /// Called when the address refuses a connection: no process listens there.
    using ConnectionRefusedHandler = std::function<void()>;

    BackendRunner(EventLoop &loop, Logger &logger, const HeaderNames &headers, const SocketAddress &address);

    /// @param instance is the id that the backend server must have; any if empty.
    void setInstance(std::string instance);
    void setConnectionRefusedHandler(ConnectionRefusedHandler handler);

    void run(std::uint64_t id, const Call &call, CallDone done) override;
    void cancel(std::uint64_t id) override;

    /// Closes the idle connections. Call it when a new incarnation listens at the address.
    void closeIdle();

    /// Tries to connect to the address; the handler of setConnectionRefusedHandler() is called if no process listens there.
    void probe();

    /// Connections opened since the start.
    std::uint64_t openedConnections() const;

private:
    using Connection = std::unique_ptr<BackendConnection>;

    /// What is needed of a request to interpret its response.
    struct SentRequest
    {
        std::string id;
        bool idempotent = false;
    };

    /// An idle connection that may carry the request; none if there is no such connection.
    Connection takeIdle(const std::string &requestId);
    HttpRequest backendRequest(const Call &call) const;
    CallResult interpret(const SentRequest &request, BackendResult result) const;
    CallResult interpretAnswer(const SentRequest &request, BackendResult result) const;
    /// Result of a call whose response the client must not get, with a line in the log.
    CallResult rejectAnswer(const std::string &requestId,
                            const HttpResponse &response,
                            const char *cause,
                            wire::CallReason reason = wire::BAD_ANSWER) const;
    void logDropped(const std::string &requestId, const BackendResult &result) const;
    /// Keeps the connection for later calls if it can carry them; closes it otherwise.
    /// @param namesRequest the response had the id of its request.
    void release(Connection connection, const std::string &requestId, const CallResult &result, bool namesRequest);
    void finish(std::uint64_t id, const SentRequest &request, BackendResult result, const CallDone &done);

    EventLoop &m_loop;
    Logger &m_logger;
    const HeaderNames &m_headers;
    SocketAddress m_address;
    std::string m_instance;
    ResponseMemory m_responseMemory; ///< Outlives the connections.
    ConnectionRefusedHandler m_connectionRefusedHandler;
    std::list<Connection> m_idleConnections; ///< Most recently used first.
    std::unordered_map<std::uint64_t, Connection> m_busyConnections; ///< By id of the call.
    Connection m_probe;
    std::uint64_t m_openedConnections = 0;
};

} // namespace Toucandeck
