#pragma once

#include "log/event.h"

#include <array>

/// Events of the router role and of the daemon, 7000 to 7099.
namespace Toucandeck::Events
{

inline constexpr Event kDaemonStarted{ 7001, LogLevel::Info, "daemon_started", "The process has started in the given roles." };
inline constexpr Event kDaemonStopping{
    7002, LogLevel::Info, "daemon_stopping", "The process received SIGTERM or SIGINT and begins the graceful shutdown."
};
inline constexpr Event kDaemonStopped{ 7003, LogLevel::Info, "daemon_stopped", "The process exits." };
inline constexpr Event kShutdownForced{ 7004, LogLevel::Error, "shutdown_forced", "The graceful shutdown timed out with work unfinished." };
inline constexpr Event kDaemonFailed{ 7005, LogLevel::Error, "daemon_failed", "The process cannot start or continue." };
inline constexpr Event kBackendAnnounced{ 7010, LogLevel::Info, "backend_announced", "A backend server announced itself." };
inline constexpr Event kBackendLost{
    7011, LogLevel::Warning, "backend_lost", "The backend server missed announcements or refuses connections."
};
inline constexpr Event kBackendLeaving{
    7012, LogLevel::Info, "backend_leaving", "The backend server withdrew its announcement; its partitions move to other instances."
};
inline constexpr Event kAnnouncementRefused{
    7013, LogLevel::Warning, "announcement_refused", "An announcement of a backend server was refused for the given reason."
};
inline constexpr Event kLeaseLost{
    7020,
    LogLevel::Warning,
    "router_lease_lost",
    "The lease has expired or may no longer be valid; all requests in flight at the backend server are cancelled."
};
inline constexpr Event kReleaseBegun{
    7021, LogLevel::Info, "release_begun", "Partitions or hot keys are being handed over to another router."
};
inline constexpr Event kReleaseDone{
    7022, LogLevel::Info, "release_done", "The requests in flight have finished and the idempotency records are transferred."
};
inline constexpr Event kReleaseCancelled{ 7023, LogLevel::Info, "release_cancelled", "The controllers cancelled the move." };

/// All events of the router role and of the daemon.
inline constexpr std::array kDaemonEvents{
    &kDaemonStarted,  &kDaemonStopping,      &kDaemonStopped, &kShutdownForced, &kDaemonFailed, &kBackendAnnounced, &kBackendLost,
    &kBackendLeaving, &kAnnouncementRefused, &kLeaseLost,     &kReleaseBegun,   &kReleaseDone,  &kReleaseCancelled,
};

} // namespace Toucandeck::Events
