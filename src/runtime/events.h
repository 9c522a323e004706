#pragma once

#include "log/event.h"

#include <array>

/// Events of module runtime, 6000 to 6999.
namespace Toucandeck::Events
{

inline constexpr Event kMessageUndecodable{
    6001, LogLevel::Warning, "message_undecodable", "A received message is no valid envelope; it was dropped."
};
inline constexpr Event kMessageDropped{
    6002, LogLevel::Warning, "message_dropped", "A message to a peer was dropped because its queue is full or its peer unreachable."
};
inline constexpr Event kPeerRejected{ 6003, LogLevel::Warning, "peer_rejected", "A peer failed the handshake or CURVE authentication." };
inline constexpr Event kPeerLimit{
    6004, LogLevel::Error, "peer_limit", "The limit on peers is reached; messages to further peers are dropped."
};
inline constexpr Event kHttpListening{ 6010, LogLevel::Info, "http_listening", "The HTTP server accepts connections." };
inline constexpr Event kHttpStopped{ 6011, LogLevel::Info, "http_stopped", "The HTTP server has finished all answers and stopped." };
inline constexpr Event kHttpStopForced{
    6012, LogLevel::Error, "http_stop_forced", "The HTTP server stopped with answers unfinished at its stop limit."
};
inline constexpr Event kHttpStaleConnection{ 6013,
                                             LogLevel::Debug,
                                             "http_stale_connection",
                                             "A persistent connection was closed by the server before reuse; nothing had been written." };
inline constexpr Event kTraceFileFailed{
    6020, LogLevel::Error, "trace_file_failed", "The trace file cannot be written; spans are dropped."
};
inline constexpr Event kComponentStarted{ 6030, LogLevel::Info, "component_started", "The supervisor started a component." };
inline constexpr Event kComponentFailed{
    6031, LogLevel::Error, "component_failed", "A component failed; the supervisor restarts it after the back-off."
};
inline constexpr Event kComponentStopped{ 6032, LogLevel::Info, "component_stopped", "The supervisor stopped a component." };
inline constexpr Event kSupervisorGaveUp{
    6033, LogLevel::Error, "supervisor_gave_up", "A component failed too often; the failure goes to the parent."
};
inline constexpr Event kMessageTransportFailed{
    6040, LogLevel::Error, "message_transport_failed", "A call of the message library failed."
};

/// All events of module runtime.
inline constexpr std::array kRuntimeEvents{ &kMessageUndecodable, &kMessageDropped,        &kPeerRejected,    &kPeerLimit,
                                            &kHttpListening,      &kHttpStopped,           &kHttpStopForced,  &kHttpStaleConnection,
                                            &kTraceFileFailed,    &kComponentStarted,      &kComponentFailed, &kComponentStopped,
                                            &kSupervisorGaveUp,   &kMessageTransportFailed };

} // namespace Toucandeck::Events
