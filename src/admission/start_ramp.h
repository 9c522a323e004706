#pragma once

#include "admission/admission_types.h"

#include <limits>

namespace Toucandeck
{

/// Strategy that limits the number of requests in flight while a backend server is cold.
class StartRamp
{
public:
    virtual ~StartRamp() = default;

    /// Sets the number of slots of the backend server, at which the ramp ends.
    virtual void setMaximum(unsigned slots) = 0;

    /// Begins a cold start; called when the backend server announces one.
    virtual void restart() = 0;

    /// Records the end of a request that was sent at @p startTime. Returns true if the answer shows that the backend server turned
    /// cold.
    virtual bool record(TimePoint startTime, const Outcome &outcome) = 0;
    virtual unsigned limit() const = 0;
};

/// No ramp; the baseline for comparisons.
class NoRamp : public StartRamp
{
public:
    void setMaximum(unsigned /*slots*/) override
    {
    }
    void restart() override
    {
    }
    bool record(TimePoint /*startTime*/, const Outcome & /*outcome*/) override
    {
        return false;
    }
    unsigned limit() const override
    {
        return std::numeric_limits<unsigned>::max();
    }
};

} // namespace Toucandeck
