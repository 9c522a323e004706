#pragma once

#include "simulator.h"

namespace Toucandeck::Model
{

/// Model of a backend server with a limited number of slots, cold start, slow phases and shedding.
class ModelBackend
{
public:
    explicit ModelBackend(Simulator &simulator);

    /// Occupies a slot. Returns false if the request is shed.
    bool startRequest();
    /// Releases the slot of a started request.
    void finishRequest();
    /// Random service time of the next request at the current load.
    Duration serviceTime();

    /// Reduces the capacity to that of a cold server; it grows back during the warm-up.
    void turnCold();
    /// Number of concurrent requests that the server accepts now.
    unsigned currentCapacity() const;
    /// Number of requests in service.
    unsigned running() const;

    double slowFactor = 1; ///< Multiplies the mean service time; 5 for a straggler.
    double shedProbability = 0; ///< Probability that a request is shed regardless of load and warm-up.
    unsigned thrashAbove = 0; ///< Number of requests above which the service time grows with the square of the load; 0: never.
    Duration meanService = std::chrono::milliseconds(4);
    std::uint64_t shedAboveCapacity = 0; ///< Requests shed because the capacity was exhausted.
    bool slotsExceeded = false; ///< Whether a request ever arrived while all slots of the warm server were occupied.

private:
    Simulator &m_simulator;
    std::optional<TimePoint> m_coldSince;
    unsigned m_running = 0;
};

} // namespace Toucandeck::Model
