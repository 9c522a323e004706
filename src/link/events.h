#pragma once

#include "log/event.h"

namespace Toucandeck::LinkEvents
{

inline constexpr Event kPeerLost{ 10000, LogLevel::Warning, "peer_lost", "The connection to another process was lost; it is retried." };
inline constexpr Event kPeerRegained{
    10001, LogLevel::Info, "peer_regained", "A message was received from a process again after its connection had been lost."
};

} // namespace Toucandeck::LinkEvents
