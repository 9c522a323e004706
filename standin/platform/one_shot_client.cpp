#include "platform/one_shot_client.h"

namespace Toucandeck::Standin
{

OneShotClient::OneShotClient(EventLoop &loop, const SocketAddress &address)
    : m_loop(loop)
    , m_connection(loop, address, std::string())
{
}

std::optional<HttpResponse> OneShotClient::send(const HttpRequest &request, Duration limit)
{
    std::optional<BackendResult> result;
    m_connection.send(request, std::string(), [&result](BackendResult it) { result = std::move(it); });
    m_loop.runUntil([&result] { return result.has_value(); }, limit);
    return result && result->error == BackendError::None ? std::optional(result->response) : std::nullopt;
}

} // namespace Toucandeck::Standin
