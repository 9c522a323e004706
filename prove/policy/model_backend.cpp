#include "model_backend.h"

#include <algorithm>

namespace Toucandeck::Model
{

namespace
{

constexpr unsigned kSlots = 9;
constexpr unsigned kColdSlots = 2;
constexpr auto kWarmUp = std::chrono::seconds(2); // linear from kColdSlots to kSlots, as in the stand-in backend server

} // namespace

ModelBackend::ModelBackend(Simulator &simulator)
    : m_simulator(simulator)
{
}

bool ModelBackend::startRequest()
{
    if (shedProbability > 0 && m_simulator.chance(shedProbability)) {
        return false;
    }
    if (m_running >= currentCapacity()) {
        ++shedAboveCapacity;
        slotsExceeded = slotsExceeded || m_running >= kSlots;
        return false;
    }
    ++m_running;
    return true;
}

void ModelBackend::finishRequest()
{
    TOUCANDECK_ASSERT(m_running > 0, "each started request finishes exactly once");
    --m_running;
}

Duration ModelBackend::serviceTime()
{
    auto mean = std::chrono::duration_cast<Duration>(meanService * slowFactor);
    if (thrashAbove > 0 && m_running > thrashAbove) {
        const auto load = static_cast<double>(m_running) / thrashAbove;
        mean = std::chrono::duration_cast<Duration>(mean * load * load);
    }
    return m_simulator.exponential(mean);
}

void ModelBackend::turnCold()
{
    m_coldSince = m_simulator.now();
}

unsigned ModelBackend::currentCapacity() const
{
    if (!m_coldSince) {
        return kSlots;
    }
    const auto warmUpProgress = std::chrono::duration<double>(m_simulator.now() - *m_coldSince) / std::chrono::duration<double>(kWarmUp);
    return std::min(kColdSlots + static_cast<unsigned>(warmUpProgress * (kSlots - kColdSlots)), kSlots);
}

unsigned ModelBackend::running() const
{
    return m_running;
}

} // namespace Toucandeck::Model
