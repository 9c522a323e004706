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

/// Sends calls to the backend server over kept connections, one call at a time on each.
class BackendRunner : public BackendPort
{
public:
    /// The address refused a connection: nobody listens there.
    using Refused = std::function<void()>;

    BackendRunner(EventLoop &loop, Logger &logger, const HeaderNames &headers, const SocketAddress &address);

    /// @param instance is the id that the backend server must have; empty: any.
    void setInstance(std::string instance);
    void setRefused(Refused refused);

    void run(std::uint64_t id, const Call &call, CallDone done) override;
    void cancel(std::uint64_t id) override;

    /// Closes the connections without a call, for a new incarnation at the address.
    void closeIdle();

    /// Asks whether anybody listens at the address; setRefused()'s callback answers if nobody does.
    void probe();

    std::uint64_t connectionsOpened() const;

private:
    using Connection = std::unique_ptr<BackendConnection>;

    Connection takeIdle();
    HttpRequest backendRequest(const Call &call) const;
    CallResult interpret(const Call &call, BackendResult result) const;
    CallResult interpretAnswer(const Call &call, HttpResponse response) const;
    void finish(std::uint64_t id, const Call &call, BackendResult result, const CallDone &done);

    EventLoop &m_loop;
    Logger &m_logger;
    const HeaderNames &m_headers;
    SocketAddress m_address;
    std::string m_instance;
    Refused m_refused;
    std::list<Connection> m_idle; ///< Latest used first.
    std::unordered_map<std::uint64_t, Connection> m_busy;
    Connection m_probe;
    std::uint64_t m_opened = 0;
};

} // namespace Toucandeck
