#include "daemon/forward_messages.h"

#include <algorithm>
#include <array>

namespace Toucandeck::internal
{

namespace
{

constexpr std::array<std::string_view, 9> kManagedHeaders{
    "Toucandeck-Verdict", "Toucandeck-Deadline-Ms", "Toucandeck-Depth", "Toucandeck-Partition",     "Toucandeck-Epoch",
    "Toucandeck-Hot-Key", "Toucandeck-Grant-Until", "traceparent",      "Toucandeck-First-Sent-Ms",
};

} // namespace

wire::WireVerdict toWire(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return wire::NOT_RUN;
    case Verdict::Ran:
        return wire::RAN;
    case Verdict::MayHaveRun:
        break;
    }
    return wire::MAY_HAVE_RUN;
}

Verdict fromWire(wire::WireVerdict verdict)
{
    // An unknown value, sent by a later version, must not count as not-run.
    return verdict == wire::NOT_RUN ? Verdict::NotRun : verdict == wire::RAN ? Verdict::Ran : Verdict::MayHaveRun;
}

bool isManagedHeader(std::string_view name)
{
    return std::any_of(kManagedHeaders.begin(), kManagedHeaders.end(), [name](auto it) { return equalHeaderNames(it, name); });
}

void copyHeaders(const HttpHeaders &from, google::protobuf::RepeatedPtrField<wire::HeaderField> &to)
{
    for (const auto &it : from) {
        if (!isHopByHop(it.name) && !isManagedHeader(it.name)) {
            auto &field = *to.Add();
            field.set_name(it.name);
            field.set_value(it.value);
        }
    }
}

HttpHeaders toHttp(const google::protobuf::RepeatedPtrField<wire::HeaderField> &fields)
{
    HttpHeaders headers;
    for (const auto &it : fields) {
        headers.push_back({ it.name(), it.value() });
    }
    return headers;
}

wire::ForwardReply refusal(Verdict verdict, int status, const std::string &text, Duration retryAfter)
{
    wire::ForwardReply reply;
    reply.set_verdict(toWire(verdict));
    reply.set_status(static_cast<std::uint32_t>(status));
    auto &type = *reply.add_headers();
    type.set_name("Content-Type");
    type.set_value("text/plain; charset=utf-8");
    reply.set_body(text + "\n");
    reply.set_retry_after_ms(static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count()));
    return reply;
}

HttpResponse toResponse(const wire::ForwardReply &reply)
{
    HttpResponse response{ static_cast<int>(reply.status()), toHttp(reply.headers()), reply.body() };
    setHeader(response.headers, "Toucandeck-Verdict", std::string(toString(fromWire(reply.verdict()))));
    if (response.status == 429 || response.status == 503) {
        // Whole seconds, rounded up; zero would allow an immediate retry.
        const auto seconds = std::max<std::uint32_t>(1, (reply.retry_after_ms() + 999) / 1000);
        setHeader(response.headers, "Retry-After", std::to_string(seconds));
    }
    return response;
}

} // namespace Toucandeck::internal
