#include "cli/bootstrap.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Toucandeck
{

namespace
{

using nlohmann::json;

Result<json> exchangeJson(
    OperatorTransport &transport, const std::string &controller, const OperatorRequest &request, const std::string &token, Duration limit)
{
    BOOST_LEAF_AUTO(answer, transport.exchange(controller, request, token, limit));
    auto body = json::parse(answer.body, nullptr, false);
    if (answer.status == 401) {
        return fail(ErrorCode::Unauthorized, fmt::format("controller {} refuses the token", controller));
    }
    if (answer.status != 200 || !body.is_object()) {
        const auto message = body.is_object() ? body.value("message", "") : answer.body;
        return fail(answer.status == 409 ? ErrorCode::Conflict : ErrorCode::Unavailable,
                    fmt::format("controller {}: {}", controller, message));
    }
    return body;
}

Result<json> fetchIdentity(OperatorTransport &transport, const std::string &controller, const std::string &token, Duration limit)
{
    const OperatorRequest request{ "GET", "/v1/identity", "", "", true };
    BOOST_LEAF_AUTO(identity, exchangeJson(transport, controller, request, token, limit));
    if (identity.value("member", true)) {
        return fail(ErrorCode::Conflict, fmt::format("controller {} already belongs to a membership", controller));
    }
    identity.erase("member");
    return identity;
}

} // namespace

Result<std::string>
bootstrapControllers(OperatorTransport &transport, const std::vector<std::string> &controllers, const std::string &token, Duration limit)
{
    json members = json::array();
    for (const auto &it : controllers) {
        BOOST_LEAF_AUTO(identity, fetchIdentity(transport, it, token, limit));
        members.push_back(identity);
    }
    const OperatorRequest request{ "POST", "/v1/bootstrap", "application/json", json{ { "members", members } }.dump(), false };
    for (const auto &it : controllers) {
        BOOST_LEAF_CHECK(exchangeJson(transport, it, request, token, limit));
    }
    return fmt::format("{} controllers have their first membership\n", members.size());
}

} // namespace Toucandeck
