#pragma once

#include "common/result.h"
#include "common/time.h"
#include "log/event.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Addresses and key of a controller, used by routers and operators.
struct ControllerAddress
{
    std::string messageAddress; ///< "tcp://IP:PORT"
    std::string httpAddress; ///< "IP:PORT"
    std::string publicKey; ///< CURVE public key (Z85); empty: the server public key of the section curve.

    bool operator==(const ControllerAddress &) const = default;
};

/// Keys for authenticated, encrypted messages between processes.
struct CurveSettings
{
    std::string secretKeyFile;
    std::string serverPublicKey; ///< Key of peers without a key of their own; empty: all processes share one key pair.
    std::string allowedKeysDir;

    bool operator==(const CurveSettings &) const = default;
};

/// Limits; reloaded on SIGHUP.
struct LimitSettings
{
    std::size_t maxBodyBytes = 1U << 20U; ///< Maximum size of a request body; a larger one is answered with 413.
    std::size_t maxHeaderBytes = 64U << 10U;
    std::size_t messageHighWaterMark = 4096; ///< Messages queued per peer and direction.
    std::size_t queuePerClass = 64; ///< Requests queued for the backend server: this many of callers, and as many of services.
    std::size_t maxWaitingRequests = 10'000; ///< Callers' requests in progress at this router; further ones are answered with 503.
    Duration defaultDeadline = std::chrono::seconds(5); ///< Deadline of requests without Toucandeck-Deadline-Ms.
    Duration maxDeadline = std::chrono::seconds(60); ///< Longer deadlines are shortened to it.
    Duration shutdown = std::chrono::seconds(60); ///< A graceful shutdown ends after this even if work is left.

    bool operator==(const LimitSettings &) const = default;
};

/// Settings of toucandeckd.
struct Settings
{
    std::string process; ///< Name in logs and traces.
    std::string failureDomain;
    std::string service; ///< Of the backend server beside the router; empty: any.
    bool router = false;
    bool controller = false;
    std::string messageAddress; ///< Address at which peers reach this process.
    std::string messageBind; ///< Address to bind; defaults to the message address.
    std::string httpAddress;
    std::vector<ControllerAddress> controllers;
    std::string dataDir; ///< Only with the role controller.
    std::string tokenFile; ///< Empty: operators need no token.
    std::optional<CurveSettings> curve;
    LimitSettings limits;
    std::string traceFile; ///< Empty: no spans are written.
    LogLevel logLevel = LogLevel::Info;
};

/// Reads JSON text. Fails with InvalidArgument and a message with one line per wrong, missing or unknown field: its path and what
/// was expected.
Result<Settings> parseSettings(const std::string &text);

/// Reads a file. Fails as parseSettings(), or with Io if the file cannot be read.
Result<Settings> loadSettings(const std::string &file);

/// Reads the operators' token: the first line of the file. Empty for an empty file name. Fails with InvalidArgument if the file
/// cannot be read or holds no token.
Result<std::string> loadToken(const std::string &file);

/// Splits "IP:PORT" with an IPv4 address.
Result<std::pair<std::string, std::uint16_t>> splitHttpAddress(const std::string &address);

} // namespace Toucandeck
