#pragma once

#include "simulator.h"

namespace Toucandeck::Model
{

/// Backend server with slots, cold start, slow phases and shedding.
class ModelBackend
{
public:
    explicit ModelBackend(Simulator &simulator);

    /// Takes a slot; false if the request is shed.
    bool begin();
    void end();
    /// Time for the next request at the present load.
    Duration serviceTime();

    void turnCold();
    /// Requests that the server bears at a time now.
    unsigned bearable() const;
    unsigned running() const;

    double slowFactor = 1; ///< 5 makes a straggler.
    double shedShare = 0; ///< Sheds this share at random, cold or not.
    unsigned thrashAbove = 0; ///< Above this many requests the service time grows with the square of the load; 0: never.
    Duration meanService = std::chrono::milliseconds(4);
    std::uint64_t shedCold = 0; ///< Shed because it bore no more.
    bool everBeyondSlots = false;

private:
    Simulator &m_simulator;
    std::optional<TimePoint> m_coldSince;
    unsigned m_running = 0;
};

} // namespace Toucandeck::Model
