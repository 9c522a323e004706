#pragma once

#include "admission/offer.h"

#include <limits>

namespace Toucandeck
{

/// Strategy for the number of requests in flight while a backend server is cold.
class StartRamp
{
public:
    virtual ~StartRamp() = default;

    /// Slots of the backend server; the ramp ends there.
    virtual void setMaximum(unsigned slots) = 0;

    /// The backend server announced a cold start.
    virtual void restart() = 0;

    /// An ended request. @p started is when it was sent. Returns true if the answer shows that the backend server turned cold.
    virtual bool record(TimePoint started, const Outcome &outcome) = 0;
    virtual unsigned limit() const = 0;
};

/// No ramp: the naive strategy.
class NoRamp : public StartRamp
{
public:
    void setMaximum(unsigned /*slots*/) override
    {
    }
    void restart() override
    {
    }
    bool record(TimePoint /*started*/, const Outcome & /*outcome*/) override
    {
        return false;
    }
    unsigned limit() const override
    {
        return std::numeric_limits<unsigned>::max();
    }
};

} // namespace Toucandeck
