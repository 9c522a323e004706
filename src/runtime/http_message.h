#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck
{

struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// First header of this name, compared without regard to case.
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name);

/// Replaces all headers of this name by one.
void setHeader(HttpHeaders &headers, std::string_view name, std::string value);

/// True for equal header names, compared without regard to case.
bool equalHeaderNames(std::string_view a, std::string_view b);

/// True for headers that belong to one connection (RFC 9110, 7.6.1) or that the HTTP library sets itself.
bool isHopByHop(std::string_view name);

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    HttpHeaders headers;
    std::string body;

    std::optional<std::string_view> header(std::string_view name) const;
    /// Target up to the query.
    std::string_view path() const;
    /// Target after the question mark; empty without a query.
    std::string_view query() const;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    std::optional<std::string_view> header(std::string_view name) const;
};

/// Reason phrase of the status code; "Unknown" for codes not in use here.
const char *reasonPhrase(int status);

} // namespace Toucandeck
