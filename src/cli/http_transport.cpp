#include "cli/http_transport.h"

#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

// The HTTP client itself reports a timeout at the limit; the margin leaves time for that report.
constexpr Duration kClientMargin = std::chrono::seconds(1);

HttpRequest toHttp(const OperatorRequest &request, const std::string &token)
{
    HttpRequest http;
    http.method = request.method;
    http.target = request.path;
    http.body = request.body;
    if (!request.contentType.empty()) {
        setHeader(http.headers, "Content-Type", request.contentType);
    }
    if (!token.empty()) {
        setHeader(http.headers, "Authorization", "Bearer " + token);
    }
    return http;
}

} // namespace

HttpTransport::HttpTransport(EventLoop &loop, Logger &logger)
    : m_loop(loop)
    , m_client(loop, {}, logger)
{
}

Result<OperatorAnswer>
HttpTransport::exchange(const std::string &controller, const OperatorRequest &request, const std::string &token, Duration limit)
{
    std::optional<HttpResult> result;
    const auto id = m_client.send(controller, toHttp(request, token), limit, [&result](HttpResult it) { result = std::move(it); });
    m_loop.runUntil([&result] { return result.has_value(); }, limit + kClientMargin);
    if (!result) {
        m_client.cancel(id);
        return fail(ErrorCode::Unavailable, fmt::format("controller {} did not answer", controller), Verdict::MayHaveRun);
    }
    if (!result->response) {
        return fail(ErrorCode::Unavailable, fmt::format("controller {}: {}", controller, result->error), result->verdict);
    }
    return OperatorAnswer{ result->response->status, std::move(result->response->body) };
}

void HttpTransport::pause(Duration length)
{
    m_loop.runUntil([] { return false; }, length);
}

} // namespace Toucandeck
