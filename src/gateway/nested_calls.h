#pragma once

namespace Toucandeck
{

/// How a gateway treats the calls that backend servers make while they run a request.
enum class NestedCalls {
    Independent, ///< Like requests of clients.
    Protected, ///< As part of their request, whose work is lost if one of them is refused.
};

} // namespace Toucandeck
