#include "gateway/admission_rule.h"

namespace Toucandeck
{

namespace
{

/// Longest queueing delay of a call that misses its latency target, as a share of the time left until its deadline. Calls that wait
/// longer are mostly not answered in time.
constexpr double kLateWaitShare = 0.15;

} // namespace

bool CallProspect::missesTarget() const
{
    return now + wait + serviceTime > call.targetTime;
}

Duration CallProspect::expectedWait() const
{
    return missesTarget() ? waitIfLate : wait;
}

bool RefuseLateRule::refuses(const CallProspect &it) const
{
    const auto left = it.call.deadline - it.now;
    if (it.wait + it.serviceTime > left) {
        return true;
    }
    return it.missesTarget() && it.waited + it.wait > left * kLateWaitShare;
}

bool ServeLateRule::refuses(const CallProspect &it) const
{
    return it.expectedWait() + it.serviceTime > it.call.deadline - it.now;
}

} // namespace Toucandeck
