#pragma once

#include "log/event.h"

namespace Toucandeck::NodeEvents
{

inline constexpr Event kStarted{ 10300, LogLevel::Info, "node_started", "A node listens on all its addresses." };
inline constexpr Event kStopping{ 10301, LogLevel::Info, "node_stopping", "A node was asked to stop." };
inline constexpr Event kStopped{ 10302, LogLevel::Info, "node_stopped", "A node ends." };
inline constexpr Event kReloaded{ 10303, LogLevel::Info, "node_settings_reloaded", "The settings file was read again." };
inline constexpr Event kReloadFailed{
    10304, LogLevel::Error, "node_settings_not_reloaded", "The settings file cannot be read; the settings in force stay."
};

} // namespace Toucandeck::NodeEvents
