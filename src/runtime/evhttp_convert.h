#pragma once

#include "runtime/http_message.h"

#include <event2/http.h>
#include <optional>
#include <string>

namespace Toucandeck::internal
{

/// libevent's code for a method name in upper case; empty for an unknown method.
std::optional<evhttp_cmd_type> methodCode(const std::string &method);
const char *methodName(evhttp_cmd_type code);

/// Bitwise OR of libevent's codes for all supported methods.
std::uint16_t servedMethods();

HttpHeaders readHeaders(evhttp_request *request);
std::string readBody(evhttp_request *request);

/// Adds the headers that libevent does not set itself. A header whose value contains a line break is skipped.
void addHeaders(evhttp_request *request, const HttpHeaders &headers);

} // namespace Toucandeck::internal
