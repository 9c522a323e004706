#pragma once

#include "gateway/call.h"

namespace Toucandeck
{

/// What is expected of a call that waits, or would wait, for a slot.
struct CallProspect
{
    const Call &call;
    TimePoint now;
    Duration waited{}; ///< Time in the queue so far.
    Duration wait{}; ///< Expected queueing delay from now, if the call can still be answered in time.
    Duration waitIfLate{}; ///< The same if it cannot, so that calls in time overtake it.
    Duration serviceTime{}; ///< Expected service time.

    bool missesTarget() const;
    /// The expected delay that applies.
    Duration expectedWait() const;
};

/// Strategy that decides which calls are refused at once instead of waiting for a slot.
class AdmissionRule
{
public:
    virtual ~AdmissionRule() = default;

    virtual bool refuses(const CallProspect &it) const = 0;
};

/// Refuses calls that cannot meet their deadline, and those that would miss their latency target after a wait of more than a share of the
/// time left until their deadline. Load pattern: a service with spare backend servers, where another one answers sooner.
class RefuseLateRule : public AdmissionRule
{
public:
    bool refuses(const CallProspect &it) const override;
};

/// Refuses calls that are not expected to be answered before their deadline, and no others. Load pattern: demand in waves that reach the
/// capacity of all backend servers, where a late answer has some value and a refusal none, and a refused nested call wastes its parent's
/// work.
class ServeLateRule : public AdmissionRule
{
public:
    bool refuses(const CallProspect &it) const override;
};

} // namespace Toucandeck
