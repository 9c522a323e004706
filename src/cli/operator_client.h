#pragma once

#include "cli/operator_transport.h"
#include "common/clock.h"

#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Sends a request to the controllers until one that leads has answered.
class OperatorClient
{
public:
    /// @p timeout covers all requests of this client. @p controllers must not be empty.
    OperatorClient(
        OperatorTransport &transport, const Clock &clock, std::vector<std::string> controllers, std::string token, Duration timeout);

    /// Body of the answer with status 200. Follows the address of the leader, and goes on to the next controller if one does not answer
    /// and the request may be sent again. Fails with the error that the controller named, or Unavailable.
    Result<std::string> send(const OperatorRequest &request);

    /// Asks until each router that holds a lease has applied the version. Fails with DeadlineExceeded, naming those that have not.
    Result<void> waitUntilApplied(std::uint64_t version);

private:
    /// Result of one exchange.
    struct Attempt
    {
        bool isFinal = false; ///< Not to be sent again.
        std::optional<std::string> body; ///< Of status 200.
        Error error; ///< Without a body.
    };

    Attempt attempt(const OperatorRequest &request);
    Attempt judge(const OperatorRequest &request, const OperatorAnswer &answer);
    Attempt lost(const OperatorRequest &request, Error error);
    void chooseNext(const OperatorAnswer &answer);

    OperatorTransport &m_transport;
    const Clock &m_clock;
    std::vector<std::string> m_controllers;
    std::size_t m_next = 0;
    std::string m_target; ///< Controller asked next.
    bool m_hasFollowed = false; ///< The target was named by a controller, not by the user.
    bool m_mayHaveRun = false; ///< An earlier attempt may have had its effect.
    std::string m_token;
    TimePoint m_end;
};

} // namespace Toucandeck
