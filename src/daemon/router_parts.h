#pragma once

#include "common/random_source.h"
#include "config/settings.h"
#include "log/logger.h"
#include "runtime/event_loop.h"
#include "runtime/message_socket.h"
#include "runtime/metrics.h"
#include "runtime/tracer.h"

namespace Toucandeck
{

/// What the parts of the router role share. All references must outlive the role.
struct RouterParts
{
    EventLoop &loop;
    MessageSocket &messages;
    RandomSource &random;
    Logger &logger;
    Metrics &metrics;
    Tracer &tracer;
    const Settings &settings; ///< Limits may change (SIGHUP).
};

} // namespace Toucandeck
