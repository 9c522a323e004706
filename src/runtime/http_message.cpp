#include "runtime/http_message.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Toucandeck
{

namespace
{

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 10> kHopByHop{ "connection", "keep-alive", "proxy-connection",  "te",   "trailer",
                                                      "upgrade",    "expect",     "transfer-encoding", "host", "content-length" };

constexpr std::array<std::pair<int, const char *>, 30> kReasons{ {
    { 200, "OK" },
    { 201, "Created" },
    { 202, "Accepted" },
    { 204, "No Content" },
    { 206, "Partial Content" },
    { 301, "Moved Permanently" },
    { 302, "Found" },
    { 303, "See Other" },
    { 304, "Not Modified" },
    { 307, "Temporary Redirect" },
    { 308, "Permanent Redirect" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 409, "Conflict" },
    { 412, "Precondition Failed" },
    { 413, "Content Too Large" },
    { 421, "Misdirected Request" },
    { 422, "Unprocessable Content" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 499, "Client Closed Request" },
    { 500, "Internal Server Error" },
    { 501, "Not Implemented" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
} };

} // namespace

bool equalHeaderNames(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const auto &h) { return equalHeaderNames(h.name, name); });
    if (it == headers.end()) {
        return std::nullopt;
    }
    return it->value;
}

void setHeader(HttpHeaders &headers, std::string_view name, std::string value)
{
    std::erase_if(headers, [name](const auto &it) { return equalHeaderNames(it.name, name); });
    headers.push_back({ std::string(name), std::move(value) });
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(kHopByHop.begin(), kHopByHop.end(), [name](auto it) { return equalHeaderNames(it, name); });
}

std::optional<std::string_view> HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::query() const
{
    const auto n = target.find('?');
    return n == std::string::npos ? std::string_view() : std::string_view(target).substr(n + 1);
}

std::optional<std::string_view> HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

const char *reasonPhrase(int status)
{
    const auto it = std::find_if(kReasons.begin(), kReasons.end(), [status](const auto &r) { return r.first == status; });
    return it == kReasons.end() ? "Unknown" : it->second;
}

} // namespace Toucandeck
