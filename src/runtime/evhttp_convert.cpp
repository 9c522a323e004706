#include "runtime/evhttp_convert.h"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <utility>

namespace Toucandeck::internal
{

namespace
{

/// CONNECT and TRACE are missing because they are not forwarded to backend servers.
constexpr std::array<std::pair<const char *, evhttp_cmd_type>, 7> kMethods{ {
    { "GET", EVHTTP_REQ_GET },
    { "POST", EVHTTP_REQ_POST },
    { "HEAD", EVHTTP_REQ_HEAD },
    { "PUT", EVHTTP_REQ_PUT },
    { "DELETE", EVHTTP_REQ_DELETE },
    { "OPTIONS", EVHTTP_REQ_OPTIONS },
    { "PATCH", EVHTTP_REQ_PATCH },
} };

} // namespace

std::optional<evhttp_cmd_type> methodCode(const std::string &method)
{
    const auto it = std::find_if(kMethods.begin(), kMethods.end(), [&method](const auto &m) { return m.first == method; });
    if (it == kMethods.end()) {
        return std::nullopt;
    }
    return it->second;
}

const char *methodName(evhttp_cmd_type code)
{
    const auto it = std::find_if(kMethods.begin(), kMethods.end(), [code](const auto &m) { return m.second == code; });
    return it == kMethods.end() ? "" : it->first;
}

std::uint16_t servedMethods()
{
    std::uint16_t mask = 0;
    for (const auto &it : kMethods) {
        mask |= static_cast<std::uint16_t>(it.second);
    }
    return mask;
}

HttpHeaders readHeaders(evhttp_request *request)
{
    HttpHeaders headers;
    for (const auto *it = evhttp_request_get_input_headers(request)->tqh_first; it != nullptr; it = it->next.tqe_next) {
        headers.push_back({ it->key, it->value });
    }
    return headers;
}

std::string readBody(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

void addHeaders(evhttp_request *request, const HttpHeaders &headers)
{
    auto *output = evhttp_request_get_output_headers(request);
    for (const auto &it : headers) {
        if (!isHopByHop(it.name)) {
            evhttp_add_header(output, it.name.c_str(), it.value.c_str());
        }
    }
}

} // namespace Toucandeck::internal
