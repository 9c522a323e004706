#pragma once

#include "cli/operator_transport.h"
#include "common/clock.h"

#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Sends a request to the controllers in turn until the leader answers.
class OperatorClient
{
public:
    /// @p timeout covers all requests of this client. @p controllers must not be empty.
    OperatorClient(
        OperatorTransport &transport, const Clock &clock, std::vector<std::string> controllers, std::string token, Duration timeout);

    /// Returns the body of the answer with status 200. Follows redirects to the leader, and tries the next controller if one does not
    /// answer and the request may be sent again. Fails with the error that the controller returned, or Unavailable.
    Result<std::string> send(const OperatorRequest &request);

    /// Polls until each router that holds a lease has applied the version. Fails with DeadlineExceeded, naming those that have not.
    Result<void> waitUntilApplied(std::uint64_t version);

private:
    /// Result of one exchange.
    struct Attempt
    {
        bool isFinal = false; ///< The request must not be sent again.
        std::optional<std::string> body; ///< Body of an answer with status 200.
        Error error; ///< Valid if there is no body.
    };

    Attempt attempt(const OperatorRequest &request);
    Attempt evaluateAnswer(const OperatorRequest &request, const OperatorAnswer &answer);
    Attempt onExchangeFailed(const OperatorRequest &request, Error error);
    void selectNextController(const OperatorAnswer &answer);

    OperatorTransport &m_transport;
    const Clock &m_clock;
    std::vector<std::string> m_controllers;
    std::size_t m_next = 0;
    std::string m_target; ///< Address of the controller for the next attempt.
    bool m_hasFollowedRedirect = false; ///< The target was named by a controller, not by the user.
    bool m_mayHaveRun = false; ///< An earlier attempt may have taken effect.
    std::string m_token;
    TimePoint m_deadline;
};

} // namespace Toucandeck
