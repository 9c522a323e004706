#pragma once

#include "log/event.h"

#include <array>

namespace Toucandeck::Events
{

inline constexpr Event kControllerWaits{
    7101, LogLevel::Info, "controller_waits", "The data folder is new; the replica waits to be added or bootstrapped."
};
inline constexpr Event kControllerBootstrapped{
    7102, LogLevel::Info, "controller_bootstrapped", "An operator has set the initial membership."
};
inline constexpr Event kControllerLeads{ 7103, LogLevel::Info, "controller_leads", "This controller was elected leader." };
inline constexpr Event kControllerFollows{ 7104, LogLevel::Info, "controller_follows", "This controller is no longer the leader." };
inline constexpr Event kControllerStopped{
    7105, LogLevel::Error, "controller_stopped", "The replica has stopped because its data folder failed."
};
inline constexpr Event kEditAnswered{
    7106, LogLevel::Info, "edit_answered", "A table edit was accepted, or refused for the given reason."
};
inline constexpr Event kOperatorRefused{
    7107, LogLevel::Warning, "operator_refused", "An operator's request was refused because it carried no valid token."
};

/// All events of the controller role.
inline constexpr std::array kControllerEvents{
    &kControllerWaits,   &kControllerBootstrapped, &kControllerLeads, &kControllerFollows,
    &kControllerStopped, &kEditAnswered,           &kOperatorRefused,
};

} // namespace Toucandeck::Events
