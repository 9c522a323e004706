#pragma once

#include "cli/operator_transport.h"
#include "runtime/event_loop.h"
#include "runtime/http_client.h"

namespace Toucandeck
{

/// Carries requests to controllers with the HTTP client, one at a time.
class HttpTransport : public OperatorTransport
{
public:
    HttpTransport(EventLoop &loop, Logger &logger);

    Result<OperatorAnswer>
    exchange(const std::string &controller, const OperatorRequest &request, const std::string &token, Duration limit) override;
    void pause(Duration length) override;

private:
    EventLoop &m_loop;
    HttpClient m_client;
};

} // namespace Toucandeck
