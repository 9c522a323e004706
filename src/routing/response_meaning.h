#pragma once

namespace Toucandeck
{

/// What a complete response of a backend server says about its request.
enum class ResponseMeaning {
    Answer, ///< The response is the answer to the request and reaches the client unchanged.
    NotRun, ///< The backend server states that it has not run the request; another one may run it.
    /// The status would promise the client that the request has not run, which the backend server does not state. The client gets another
    /// status, and the request is not sent to another backend server unless it may be repeated.
    MayHaveRun,
};

/// True if a client takes the status as a promise that its request has not run and never will: 408, 421, 429 and 503.
bool promisesNotRun(int status);

/// @param statesNotRun the response has the header by which a backend server states that it has not run the request; the status states
/// nothing.
/// @param repeatable the request may run more than once, so a client may send it again whatever the status.
ResponseMeaning meaningOf(int status, bool statesNotRun, bool repeatable);

} // namespace Toucandeck
