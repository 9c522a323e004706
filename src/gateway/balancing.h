#pragma once

namespace Toucandeck
{

/// How an entry chooses among the backend servers of a service without keys.
enum class Balancing {
    LeastTime, ///< The shortest expected time, by the reports of the last fraction of a second.
    Capacity, ///< The shortest expected time among a few that are drawn by their capacity, by estimates of the present load.
};

} // namespace Toucandeck
