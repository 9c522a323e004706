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

/// Dependencies shared by the components of the router role. All references must outlive the role.
struct RouterParts
{
    EventLoop &loop;
    MessageSocket &messages;
    RandomSource &random;
    Logger &logger;
    Metrics &metrics;
    Tracer &tracer;
    const Settings &settings; ///< The limits may change on SIGHUP.
};

} // namespace Toucandeck
