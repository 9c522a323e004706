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

/// First header with this name, compared case-insensitively.
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name);

/// Replaces all headers with this name by a single one.
void setHeader(HttpHeaders &headers, std::string_view name, std::string value);

/// True if the header names are equal, ignoring case.
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
    /// Part of the target before the query.
    std::string_view path() const;
    /// Part of the target after the question mark; empty if there is no query.
    std::string_view query() const;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    std::optional<std::string_view> header(std::string_view name) const;
};

/// Reason phrase of the status code; "Unknown" for codes that this project does not use.
const char *reasonPhrase(int status);

} // namespace Toucandeck
