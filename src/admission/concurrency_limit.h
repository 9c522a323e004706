#pragma once

#include "admission/admission_types.h"

#include <memory>

namespace Toucandeck
{

/// Result of one request, as input to a limit.
struct LimitSample
{
    AnswerKind kind = AnswerKind::Ok;
    Duration latency{};
    unsigned inFlight = 0; ///< Requests in flight when it ended, including itself.
};

/// Strategy that limits the number of requests in flight, for example based on latency and rejections.
class ConcurrencyLimit
{
public:
    virtual ~ConcurrencyLimit() = default;

    /// Sets the number of slots of the backend server, the upper bound of the limit.
    virtual void setMaximum(unsigned slots) = 0;
    virtual void record(const LimitSample &sample) = 0;
    virtual unsigned limit() const = 0;
};

} // namespace Toucandeck
