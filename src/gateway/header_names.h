#pragma once

#include <string>

namespace Toucandeck
{

/// Names of the HTTP headers exchanged between gateways, clients and backend servers. An adapter may replace them.
struct HeaderNames
{
    std::string requestId = "Toucandeck-Request-Id"; ///< Identifies one attempt of a client; repeated in the answer.
    std::string deadlineMs = "Toucandeck-Deadline-Ms"; ///< Time left until the deadline.
    std::string key = "Toucandeck-Key"; ///< Number of the key, below kKeyCount.
    std::string callerService = "Toucandeck-Caller-Service"; ///< Service on the VM where the request originates.
    std::string expectedInstance
        = "Toucandeck-Expected-Instance"; ///< Id of the backend server that may run the request; any other refuses it.
    std::string notExecuted = "Toucandeck-Not-Executed"; ///< In an answer: the request was not run.
    std::string serverLoad = "Toucandeck-Server-Load"; ///< In an answer: running, waiting, slots, slowness in per cent.
    std::string answerSeal = "Toucandeck-Answer-Seal"; ///< In an answer: proves that a backend server created it.
    /// The id of a nested call is the id of the request that the backend server runs, followed by this separator and a suffix.
    char nestedIdSeparator = '.';
    std::string coldRemainingMs = "Toucandeck-Cold-Remaining-Ms"; ///< In an answer to a health check.
};

} // namespace Toucandeck
