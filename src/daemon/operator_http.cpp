#include "daemon/operator_http.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace Toucandeck::internal
{

namespace
{

int statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
    case ErrorCode::Refused:
        return 409;
    case ErrorCode::NotLeader:
        return 421;
    default:
        return 503;
    }
}

} // namespace

HttpResponse jsonResponse(int status, const nlohmann::json &body)
{
    // Messages quote what operators sent, which may not be UTF-8; dump() would throw.
    constexpr int kCompact = -1;
    const auto text = body.dump(kCompact, ' ', false, nlohmann::json::error_handler_t::replace);
    return { status, { { "Content-Type", "application/json" } }, text + '\n' };
}

HttpResponse errorResponse(const Error &error)
{
    return jsonResponse(statusOf(error.code), { { "error", toString(error.code) }, { "message", error.message } });
}

std::string queryValue(const HttpRequest &request, const char *name)
{
    evkeyvalq fields{};
    evhttp_parse_query_str(std::string(request.query()).c_str(), &fields);
    const char *value = evhttp_find_header(&fields, name);
    std::string text = value ? value : "";
    evhttp_clear_headers(&fields);
    return text;
}

} // namespace Toucandeck::internal
