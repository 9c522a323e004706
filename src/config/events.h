#pragma once

#include "log/event.h"

#include <array>

/// Events of module config, 9000 to 9999.
namespace Toucandeck::Events
{

inline constexpr Event kSettingsLoaded{ 9001, LogLevel::Info, "settings_loaded", "The settings file was read and is valid." };
inline constexpr Event kSettingsReloaded{
    9002, LogLevel::Info, "settings_reloaded", "Log level, limits, tokens and allowed keys were read again after SIGHUP."
};
inline constexpr Event kSettingsRefused{
    9003, LogLevel::Error, "settings_refused", "The settings read after SIGHUP are not valid; the former ones stay in force."
};
inline constexpr Event kSettingsNeedRestart{
    9004, LogLevel::Warning, "settings_need_restart", "A setting that only a restart can change differs; the former value stays in force."
};

/// All events of module config.
inline constexpr std::array kConfigEvents{ &kSettingsLoaded, &kSettingsReloaded, &kSettingsRefused, &kSettingsNeedRestart };

} // namespace Toucandeck::Events
