#pragma once

#include <string>

namespace Toucandeck
{

/// Names of the headers that carry what a gateway and backend servers tell each other. An adapter may replace them.
struct HeaderNames
{
    std::string requestId = "Toucandeck-Request-Id"; ///< Of one attempt of a client; repeated in the answer.
    std::string deadlineMs = "Toucandeck-Deadline-Ms"; ///< Time that the client waits.
    std::string key = "Toucandeck-Key"; ///< Number of the key, below kKeyCount.
    std::string callerService = "Toucandeck-Caller-Service"; ///< Service on the VM where the request began.
    std::string expectedInstance = "Toucandeck-Expected-Instance"; ///< Any other backend server refuses the request.
    std::string notExecuted = "Toucandeck-Not-Executed"; ///< In an answer: the request was not run.
    std::string serverLoad = "Toucandeck-Server-Load"; ///< In an answer: running, waiting, slots, slowness in per cent.
    std::string answerSeal = "Toucandeck-Answer-Seal"; ///< Proves that an answer is a backend server's own.
    /// A backend server's own call has the id of the request that it runs, followed by this and a part of its own.
    char nestedIdSeparator = '.';
    std::string coldRemainingMs = "Toucandeck-Cold-Remaining-Ms"; ///< In an answer to a health check.
};

} // namespace Toucandeck
