#pragma once

#include "log/event.h"

namespace Toucandeck::NodeEvents
{

inline constexpr Event kStarted{ 10300, LogLevel::Info, "node_started", "A node listens on all its addresses." };
inline constexpr Event kStopping{ 10301, LogLevel::Info, "node_stopping", "A node received a request to stop." };
inline constexpr Event kStopped{ 10302, LogLevel::Info, "node_stopped", "A node is terminating." };
inline constexpr Event kReloaded{ 10303, LogLevel::Info, "node_settings_reloaded", "The settings file was reloaded." };
inline constexpr Event kReloadFailed{
    10304, LogLevel::Error, "node_settings_not_reloaded", "The settings file cannot be loaded; the active settings are kept."
};

} // namespace Toucandeck::NodeEvents
