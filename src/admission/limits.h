#pragma once

namespace Toucandeck
{

/// Limits of one backend server according to the table. If one is zero, no request is admitted.
struct BackendLimits
{
    unsigned slots = 9; ///< Maximum number of requests in flight.
    unsigned connections = 110; ///< Maximum number of open connections, including idle ones.
};

/// State of the backend server's row in the table.
enum class ServingState {
    Serving,
    Leaving, ///< Finishes running requests and admits no new ones.
    Out, ///< Out of service: admits no requests.
};

} // namespace Toucandeck
