#pragma once

#include "common/time.h"

namespace Toucandeck
{

/// Source of time. Decision logic takes it as a parameter so that tests control time.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time of this VM (CLOCK_MONOTONIC).
    virtual TimePoint now() const = 0;

    /// Wall time of this VM.
    virtual WallTime wallNow() const = 0;
};

/// Clock of the operating system.
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

/// Clock of the operating system whose now() also counts the time during which the VM is suspended (CLOCK_BOOTTIME). A lease that
/// is timed by the steady clock would outlast its grant on a VM that was suspended meanwhile.
class BootClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

/// Clock that only advances by explicit calls; for tests and randomised runs.
class ManualClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;

    /// Moves both clocks forward. @p step must not be negative.
    void advance(Duration step);

    /// Moves only the wall clock, by a positive or negative step.
    void adjustWall(std::chrono::milliseconds step);

private:
    TimePoint m_now{ std::chrono::hours(1) };
    std::chrono::milliseconds m_wallOffset{ 1'700'000'000'000 };
};

} // namespace Toucandeck
