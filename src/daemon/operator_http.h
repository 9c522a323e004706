#pragma once

#include "common/result.h"
#include "runtime/http_server.h"

#include <nlohmann/json.hpp>
#include <string>

namespace Toucandeck::internal
{

HttpResponse jsonResponse(int status, const nlohmann::json &body);

/// {"error", "message"} with the HTTP status of the error code.
HttpResponse errorResponse(const Error &error);

/// Value of a query parameter, decoded; empty if it is missing.
std::string queryValue(const HttpRequest &request, const char *name);

/// Answers with what @p block returns, or with its error.
template<class Block>
void answerWith(const std::shared_ptr<HttpExchange> &exchange, Block &&block)
{
    exchange->respond(handleError(std::forward<Block>(block), [](const Error &error) { return errorResponse(error); }));
}

} // namespace Toucandeck::internal
