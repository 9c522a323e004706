#pragma once

#include "common/time.h"
#include "common/verdict.h"
#include "forward.pb.h"
#include "runtime/http_message.h"

namespace Toucandeck
{
namespace wire = ::toucandeck::wire;
}

namespace Toucandeck::internal
{

wire::WireVerdict toWire(Verdict verdict);
Verdict fromWire(wire::WireVerdict verdict);

/// True for headers that the routers set or consume themselves. They are not copied between caller and backend server.
bool isManagedHeader(std::string_view name);

/// Copies the end-to-end headers: all but hop-by-hop and managed ones.
void copyHeaders(const HttpHeaders &from, google::protobuf::RepeatedPtrField<wire::HeaderField> &to);
HttpHeaders toHttp(const google::protobuf::RepeatedPtrField<wire::HeaderField> &fields);

/// Reply that a router generates itself. @p text is a message for humans.
wire::ForwardReply refusal(Verdict verdict, int status, const std::string &text, Duration retryAfter = {});

/// Response to the caller, with verdict header and, for 429 and 503, Retry-After.
HttpResponse toResponse(const wire::ForwardReply &reply);

} // namespace Toucandeck::internal
