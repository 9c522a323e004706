#include "runtime/http_server.h"

#include "runtime/evhttp_convert.h"

#include <event2/http.h>
#include <utility>

namespace Toucandeck
{

HttpExchange::HttpExchange(HttpServer *server, evhttp_request *request)
    : m_server(server)
    , m_request(request)
{
    m_content.method = internal::methodName(evhttp_request_get_command(request));
    m_content.target = evhttp_request_get_uri(request);
    m_content.headers = internal::readHeaders(request);
    m_content.body = internal::readBody(request);
    char *host = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &host, &port);
    m_peer = host != nullptr ? host : "";
}

HttpExchange::~HttpExchange()
{
    respond({ 500, { { "Toucandeck-Verdict", "may-have-run" } }, "the request was abandoned\n" });
}

const HttpRequest &HttpExchange::request() const
{
    return m_content;
}

const std::string &HttpExchange::peer() const
{
    return m_peer;
}

void HttpExchange::respond(HttpResponse response)
{
    auto *request = std::exchange(m_request, nullptr);
    if (request != nullptr) {
        m_onClosed = nullptr;
        m_server->sendResponse(*this, request, std::move(response));
    }
}

void HttpExchange::onClosed(std::function<void()> handler)
{
    if (m_closed) {
        handler();
    } else if (m_request != nullptr) {
        m_onClosed = std::move(handler);
    }
}

bool HttpExchange::isClosed() const
{
    return m_closed;
}

void HttpExchange::notifyClosed()
{
    m_request = nullptr;
    m_closed = true;
    const auto handler = std::exchange(m_onClosed, nullptr);
    if (handler) {
        handler();
    }
}

} // namespace Toucandeck
