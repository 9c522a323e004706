#pragma once

#include "log/event.h"

/// Events of module routing, 4000 to 4999.
namespace Toucandeck::Events
{

inline constexpr Event kProbationStarted{
    4001, LogLevel::Warning, "probation_started", "An instance answers much worse than its peers and gets only probes."
};
inline constexpr Event kProbationEnded{ 4002, LogLevel::Info, "probation_ended", "Probes of an instance succeeded; it gets work again." };

} // namespace Toucandeck::Events
