#pragma once

#include "common/time.h"

namespace Toucandeck
{

/// Share of the slots that late calls can count on while calls in time overtake them.
///
/// Load pattern: demand that exceeds the capacity for some seconds, or for long. At first late calls are expected to get slots soon, since
/// most peaks end; the longer no slot is free and none is given to a late call, the less they can count on.
class LateShare
{
public:
    /// Records that a slot is free.
    void recordFreeSlot(TimePoint now);

    /// Records that a late call with this expected service time gets one of the slots.
    void recordStart(Duration serviceTime, double slots, TimePoint now);

    double at(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    double m_share = 0;
    TimePoint m_updatedAt;
};

} // namespace Toucandeck
