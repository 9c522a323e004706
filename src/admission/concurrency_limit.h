#pragma once

#include "admission/offer.h"

#include <memory>

namespace Toucandeck
{

/// One ended request, as input to a limit.
struct LimitSample
{
    AnswerKind kind = AnswerKind::Ok;
    Duration latency{};
    unsigned inFlight = 0; ///< Requests in flight when it ended, itself included.
};

/// Strategy for the number of requests in flight, learned from answers.
class ConcurrencyLimit
{
public:
    virtual ~ConcurrencyLimit() = default;

    /// Slots of the backend server; the limit is never above.
    virtual void setMaximum(unsigned slots) = 0;
    virtual void record(const LimitSample &sample) = 0;
    virtual unsigned limit() const = 0;
};

} // namespace Toucandeck
