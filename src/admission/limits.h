#pragma once

namespace Toucandeck
{

/// What the table grants to one backend server. Zero slots admit nothing.
struct BackendLimits
{
    unsigned slots = 9; ///< Requests in flight at once.
    unsigned connections = 110; ///< Open connections, idle ones included.
};

/// State of the backend server's row in the table.
enum class ServingState {
    Serving,
    Leaving, ///< Finishes what runs; admits nothing new.
    Out, ///< Admits nothing.
};

} // namespace Toucandeck
