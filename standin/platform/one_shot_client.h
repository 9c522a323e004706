#pragma once

#include "http/backend_connection.h"

namespace Toucandeck::Standin
{

/// One HTTP request over a connection of its own.
class OneShotClient
{
public:
    OneShotClient(EventLoop &loop, const SocketAddress &address);

    /// Runs the event loop until the response has arrived; nothing if none arrives within @p limit.
    std::optional<HttpResponse> send(const HttpRequest &request, Duration limit);

private:
    EventLoop &m_loop;
    BackendConnection m_connection;
};

} // namespace Toucandeck::Standin
