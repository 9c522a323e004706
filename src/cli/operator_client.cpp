#include "cli/operator_client.h"

#include "common/assert.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Toucandeck
{

namespace
{

using nlohmann::json;

constexpr Duration retryPause = std::chrono::milliseconds(200); // an election takes up to 300 ms
constexpr Duration exchangeLimit = std::chrono::seconds(3); // leaves time for another controller within the default time limit
constexpr int okStatus = 200;
constexpr int notLeaderStatus = 421;

constexpr ErrorCode allCodes[] = { ErrorCode::InvalidArgument,  ErrorCode::NotFound,  ErrorCode::Conflict,    ErrorCode::Refused,
                                   ErrorCode::Unauthorized,     ErrorCode::NotLeader, ErrorCode::Unavailable, ErrorCode::Overloaded,
                                   ErrorCode::DeadlineExceeded, ErrorCode::Corrupt,   ErrorCode::Io };

std::string textField(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_string() ? object[name].get<std::string>() : std::string();
}

/// Parses the error in the body; Unavailable if the body is not a valid error object.
Error errorOf(const OperatorAnswer &answer)
{
    const auto body = json::parse(answer.body, nullptr, false);
    const auto name = textField(body, "error");
    const auto *const it
        = std::find_if(std::begin(allCodes), std::end(allCodes), [&name](ErrorCode code) { return toString(code) == name; });
    if (it == std::end(allCodes)) {
        return { ErrorCode::Unavailable, fmt::format("unexpected answer with HTTP status {}", answer.status), Verdict::MayHaveRun };
    }
    return { *it, textField(body, "message"), Verdict::NotRun };
}

} // namespace

OperatorClient::OperatorClient(
    OperatorTransport &transport, const Clock &clock, std::vector<std::string> controllers, std::string token, Duration timeout)
    : m_transport(transport)
    , m_clock(clock)
    , m_controllers(std::move(controllers))
    , m_token(std::move(token))
    , m_deadline(clock.now() + timeout)
{
    TOUCANDECK_ASSERT(!m_controllers.empty(), "the client needs a controller");
    m_target = m_controllers.front();
}

/// Follows a redirect to the leader, but not two in a row: two controllers may each name the other as leader.
void OperatorClient::selectNextController(const OperatorAnswer &answer)
{
    const auto leader = answer.status == notLeaderStatus ? textField(json::parse(answer.body, nullptr, false), "leader") : std::string();
    if (!leader.empty() && leader != m_target && !m_hasFollowedRedirect) {
        m_target = leader;
        m_hasFollowedRedirect = true;
        return;
    }
    m_hasFollowedRedirect = false;
    m_next = (m_next + 1) % m_controllers.size();
    m_target = m_controllers[m_next];
    m_transport.pause(retryPause);
}

OperatorClient::Attempt OperatorClient::onExchangeFailed(const OperatorRequest &request, Error error)
{
    m_mayHaveRun = m_mayHaveRun || error.verdict != Verdict::NotRun;
    const bool isFinal = m_mayHaveRun && !request.isResendable;
    if (isFinal) {
        error.message += "; the change may have been made, look before you repeat it";
    }
    return { isFinal, {}, std::move(error) };
}

OperatorClient::Attempt OperatorClient::evaluateAnswer(const OperatorRequest &request, const OperatorAnswer &answer)
{
    if (answer.status == okStatus) {
        return { true, answer.body, {} };
    }
    auto error = errorOf(answer);
    if (answer.status == notLeaderStatus) {
        return { false, {}, std::move(error) };
    }
    if (error.code == ErrorCode::Unavailable) {
        // The leader may have lost its leadership after proposing the change.
        error.verdict = request.method == "GET" ? Verdict::NotRun : Verdict::MayHaveRun;
        return onExchangeFailed(request, std::move(error));
    }
    return { true, {}, std::move(error) };
}

OperatorClient::Attempt OperatorClient::attempt(const OperatorRequest &request)
{
    const auto limit = std::min<Duration>(exchangeLimit, m_deadline - m_clock.now());
    return handleError(
        [&]() -> Result<Attempt> {
            BOOST_LEAF_AUTO(answer, m_transport.exchange(m_target, request, m_token, limit));
            auto result = evaluateAnswer(request, answer);
            if (!result.isFinal) {
                selectNextController(answer);
            }
            return result;
        },
        [&](const Error &error) {
            auto result = onExchangeFailed(request, error);
            if (!result.isFinal) {
                selectNextController({});
            }
            return result;
        });
}

Result<std::string> OperatorClient::send(const OperatorRequest &request)
{
    Attempt last{ false, {}, { ErrorCode::Unavailable, "no controller answered within the time limit", Verdict::NotRun } };
    while (!last.isFinal && m_clock.now() < m_deadline) {
        last = attempt(request);
    }
    if (last.body) {
        return *last.body;
    }
    return fail(last.error.code, last.error.message, m_mayHaveRun ? Verdict::MayHaveRun : last.error.verdict);
}

Result<void> OperatorClient::waitUntilApplied(std::uint64_t version)
{
    std::string pending = "no controller answered";
    while (m_clock.now() < m_deadline) {
        BOOST_LEAF_AUTO(body, send(appliedRequest(version)));
        const auto answer = json::parse(body, nullptr, false);
        if (answer.is_object() && answer.value("applied", false)) {
            return {};
        }
        pending = answer.is_object() ? answer.value("pending", json::array()).dump() : "unexpected answer";
        m_transport.pause(retryPause);
    }
    return fail(ErrorCode::DeadlineExceeded, fmt::format("version {} is not applied everywhere yet; waiting for {}", version, pending));
}

} // namespace Toucandeck
