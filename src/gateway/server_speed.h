#pragma once

#include "common/time.h"

#include <cstdint>

namespace Toucandeck
{

/// Speed of the backend server on this VM relative to the backend servers of its service: the usual work of the calls that it answered,
/// divided by its own work on them. Each call is compared with calls of its own kind, so a slow kind of request does not count as a slow
/// machine.
class ServerSpeed
{
public:
    /// @param timeConstant over which recorded calls lose their weight.
    explicit ServerSpeed(Duration timeConstant);

    /// Records an answered call. @param work is positive. @param usualWork of calls of this kind at all backend servers of the service.
    void record(Duration work, Duration usualWork, TimePoint now);

    /// Relative speed, from 0.25 to 4; zero is unknown. Few recent calls give a value near 1.
    double relative(TimePoint now) const;

    /// The same in thousandths, as reported to other processes.
    std::uint32_t permille(TimePoint now) const;

    /// Discards what is known, as for a new incarnation.
    void reset();

private:
    /// Weight of the recorded calls at @p now.
    double weight(TimePoint now) const;

    Duration m_timeConstant;
    std::uint32_t m_recorded = 0; ///< Number of recorded calls, up to the number that makes the speed known.
    double m_usualSeconds = 0; ///< Sum of the usual work, older calls with less weight.
    double m_workSeconds = 0; ///< Sum of the own work with the same weights.
    double m_calls = 0; ///< Sum of the weights.
    TimePoint m_recordedAt;
};

} // namespace Toucandeck
