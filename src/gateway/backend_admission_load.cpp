#include "gateway/backend_admission.h"

#include <algorithm>

namespace Toucandeck
{

wire::LoadReport BackendAdmission::loadReport() const
{
    wire::LoadReport load;
    load.set_running(static_cast<std::uint32_t>(m_running.size()));
    load.set_waiting(static_cast<std::uint32_t>(m_queue.size()));
    load.set_slots(m_backendStatus.slots());
    load.set_work_us(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(m_serviceTimes.mean()).count()));
    load.set_failed_permille(static_cast<std::uint32_t>(m_failedShare * 1000));
    load.set_cold(m_backendStatus.isCold());
    load.set_slowness_permille(static_cast<std::uint32_t>(m_slowness.relative(m_clock.now()) * 1000));
    load.set_speed_permille(speedPermille());
    if (m_policy == AdmissionPolicy::ServeLate) {
        load.set_wait_us(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(usualWait()).count()));
    }
    return load;
}

std::size_t BackendAdmission::runningCount() const
{
    return m_running.size();
}

std::size_t BackendAdmission::runningCount(CallOrigin origin) const
{
    return static_cast<std::size_t>(
        std::count_if(m_running.begin(), m_running.end(), [origin](const auto &it) { return originOf(it.second.call) == origin; }));
}

std::size_t BackendAdmission::waitingCount() const
{
    return m_queue.size();
}

std::size_t BackendAdmission::waitingCount(CallOrigin origin) const
{
    return m_queue.count(origin);
}

const AdmissionTally &BackendAdmission::tally() const
{
    return m_tally;
}

Duration BackendAdmission::meanServiceTime() const
{
    return m_serviceTimes.mean();
}

std::uint32_t BackendAdmission::speedPermille() const
{
    return m_speed.permille(m_clock.now());
}

std::uint32_t BackendAdmission::longTermSpeedPermille() const
{
    return m_longTermSpeed.permille(m_clock.now());
}

} // namespace Toucandeck
