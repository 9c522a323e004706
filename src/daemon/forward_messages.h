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

/// True for headers that the routers set or consume themselves; they are not copied between caller and backend server.
bool isManagedHeader(std::string_view name);

/// Headers of the request that travel with it to the backend server.
void copyHeaders(const HttpHeaders &from, google::protobuf::RepeatedPtrField<wire::HeaderField> &to);
HttpHeaders toHttp(const google::protobuf::RepeatedPtrField<wire::HeaderField> &fields);

/// A reply that no backend server gave. @p text is for people.
wire::ForwardReply refusal(Verdict verdict, int status, const std::string &text, Duration retryAfter = {});

/// Answer for the caller, with verdict header and, for 429 and 503, Retry-After.
HttpResponse toResponse(const wire::ForwardReply &reply);

} // namespace Toucandeck::internal
