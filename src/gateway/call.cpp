#include "gateway/call.h"

#include <algorithm>
#include <array>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

template<class Message>
void addHeaders(Message &out, const HttpHeaders &headers)
{
    for (const auto &it : headers) {
        auto *header = out.add_headers();
        header->set_name(it.name);
        header->set_value(it.value);
    }
}

template<class Message>
HttpHeaders readHeaders(const Message &in)
{
    HttpHeaders headers;
    headers.reserve(static_cast<std::size_t>(in.headers_size()));
    for (const auto &it : in.headers()) {
        headers.push_back({ it.name(), it.value() });
    }
    return headers;
}

} // namespace

CallOrigin originOf(const Call &call)
{
    if (call.nested) {
        return CallOrigin::Nested;
    }
    return call.clientRetry ? CallOrigin::ClientRetry : CallOrigin::Client;
}

std::string_view toString(CallOrigin origin)
{
    static constexpr std::array<std::string_view, kCallOriginCount> kNames{ "client", "client_retry", "nested" };
    return kNames.at(static_cast<std::size_t>(origin));
}

CallResult notRun(wire::CallReason reason, Duration retryAfter)
{
    CallResult result;
    result.reason = reason;
    result.retryAfter = retryAfter;
    return result;
}

wire::CallRequest toWire(const Call &call, TimePoint now)
{
    wire::CallRequest out;
    out.set_service(call.service);
    out.set_request_id(call.requestId);
    out.set_method(call.request.method);
    out.set_target(call.request.target);
    addHeaders(out, call.request.headers);
    out.set_body(call.request.body);
    out.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, duration_cast<milliseconds>(call.deadline - now).count())));
    out.set_aim_ms(static_cast<std::int32_t>(duration_cast<milliseconds>(call.targetTime - now).count()));
    out.set_rank(call.rank);
    out.set_idempotent(call.idempotent);
    out.set_nested(call.nested);
    out.set_returned(call.clientRetry);
    out.set_sibling_answers(call.siblingAnswers);
    out.set_sent_ms(static_cast<std::uint64_t>(duration_cast<milliseconds>(now.time_since_epoch()).count()));
    out.set_max_wait_ms(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(call.maxWait).count()));
    if (call.key) {
        out.set_has_key(true);
        out.set_key(*call.key);
    }
    return out;
}

Call fromWire(const wire::CallRequest &request, TimePoint now)
{
    Call call;
    call.service = request.service();
    call.requestId = request.request_id();
    call.request = { request.method(), request.target(), readHeaders(request), request.body() };
    call.deadline = now + milliseconds(request.remaining_ms());
    call.targetTime = now + milliseconds(request.aim_ms());
    call.rank = request.rank();
    call.idempotent = request.idempotent();
    call.nested = request.nested();
    call.clientRetry = request.returned();
    call.siblingAnswers = request.sibling_answers();
    call.maxWait = milliseconds(request.max_wait_ms());
    if (request.has_key()) {
        call.key = request.key();
    }
    return call;
}

wire::CallReply toWire(const CallResult &result)
{
    wire::CallReply out;
    out.set_outcome(result.outcome);
    out.set_reason(result.reason);
    out.set_retry_after_ms(static_cast<std::uint32_t>(duration_cast<milliseconds>(result.retryAfter).count()));
    out.set_status(static_cast<std::uint32_t>(result.response.status));
    addHeaders(out, result.response.headers);
    out.set_body(result.response.body);
    out.set_instance(result.instance);
    out.set_reached(result.reachedBackend);
    *out.mutable_load() = result.load;
    out.set_work_us(static_cast<std::uint32_t>(duration_cast<microseconds>(result.work).count()));
    out.set_elapsed_us(static_cast<std::uint32_t>(duration_cast<microseconds>(result.elapsed).count()));
    for (const auto &it : result.peers) {
        addTo(out, it);
    }
    return out;
}

void addTo(wire::CallReply &reply, const PeerReport &report)
{
    auto *peer = reply.add_peers();
    peer->set_router(report.gateway);
    *peer->mutable_load() = report.load;
    peer->set_age_ms(static_cast<std::uint32_t>(duration_cast<milliseconds>(report.age).count()));
}

CallResult fromWire(const wire::CallReply &reply)
{
    CallResult result;
    result.outcome = reply.outcome();
    result.reason = reply.reason();
    result.retryAfter = milliseconds(reply.retry_after_ms());
    result.response = { static_cast<int>(reply.status()), readHeaders(reply), reply.body() };
    result.instance = reply.instance();
    result.reachedBackend = reply.reached();
    result.load = reply.load();
    result.work = microseconds(reply.work_us());
    result.elapsed = microseconds(reply.elapsed_us());
    for (const auto &it : reply.peers()) {
        result.peers.push_back({ it.router(), it.load(), milliseconds(it.age_ms()) });
    }
    return result;
}

} // namespace Toucandeck
