#pragma once

#include "runtime/message_context.h"

#include <optional>
#include <string>
#include <vector>

namespace Toucandeck::internal
{

/// Receives one message of any number of frames without blocking; empty if none is queued.
std::optional<std::vector<std::string>> receiveFrames(const ZmqSocket &socket);

/// Queues one message without blocking; false if the queue is full or no peer is connected.
bool sendFrames(const ZmqSocket &socket, const std::vector<std::string> &frames);

} // namespace Toucandeck::internal
