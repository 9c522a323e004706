#include "fleet/holder_capacities.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr double kDefaultServiceTimeUs = 100'000;
/// Bounds of the relative speed, so that a wrong report neither removes all keys from a backend server nor gives it most of them.
constexpr double kMinSpeed = 0.25;
constexpr double kMaxSpeed = 4;

} // namespace

void HolderCapacities::add(const wire::InstanceReport &instance)
{
    if (instance.work_us() != 0) {
        auto &it = m_serviceTimes[instance.service()];
        it.sumUs += instance.work_us();
        it.count += 1;
    }
}

double HolderCapacities::serviceTimeUs(const wire::InstanceReport &instance) const
{
    const auto mean = m_serviceTimes.find(instance.service());
    if (instance.speed_permille() != 0 && mean != m_serviceTimes.end()) {
        const double speed = std::clamp(instance.speed_permille() / 1000.0, kMinSpeed, kMaxSpeed);
        return mean->second.sumUs / mean->second.count / speed;
    }
    return instance.work_us() == 0 ? kDefaultServiceTimeUs : instance.work_us();
}

double HolderCapacities::of(const wire::InstanceReport &instance) const
{
    return std::max(1U, instance.slots()) * 1e6 / serviceTimeUs(instance);
}

} // namespace Toucandeck
