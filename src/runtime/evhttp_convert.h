#pragma once

#include "runtime/http_message.h"

#include <event2/http.h>
#include <optional>
#include <string>

namespace Toucandeck::internal
{

/// Library's code of a method in upper case; nothing for an unknown one.
std::optional<evhttp_cmd_type> methodCode(const std::string &method);
const char *methodName(evhttp_cmd_type code);

/// Bitwise or of the codes of all methods served.
std::uint16_t servedMethods();

HttpHeaders readHeaders(evhttp_request *request);
std::string readBody(evhttp_request *request);

/// Adds the headers that the library does not set itself. A header with a line break in its value is left out.
void addHeaders(evhttp_request *request, const HttpHeaders &headers);

} // namespace Toucandeck::internal
