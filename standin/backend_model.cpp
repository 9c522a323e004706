#include "backend_model.h"

#include "common/assert.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck::Standin
{

namespace
{

// Keeps the simulated service time within a few multiples of the mean, so that a deadline failure points at the router.
constexpr double kLongestServiceFactor = 4.0;

} // namespace

BackendModel::BackendModel(BackendOptions options, const Clock &clock, RandomSource &random)
    : m_options(options)
    , m_clock(clock)
    , m_random(random)
{
    if (m_options.startsCold) {
        turnCold();
    }
}

BackendDecision BackendModel::begin(const BackendRequest &request)
{
    if (!grantIsValid(request)) {
        ++m_staleGrants;
        return BackendDecision::StaleGrant;
    }
    if (request.deadline && *request.deadline <= Duration::zero()) {
        return BackendDecision::DeadlinePassed;
    }
    if (m_running >= bearable()) {
        ++m_shed;
        return BackendDecision::Shed;
    }
    ++m_running;
    ++m_started;
    return BackendDecision::Run;
}

void BackendModel::end()
{
    TOUCANDECK_ASSERT(m_running > 0, "a slot is given back once");
    --m_running;
}

Duration BackendModel::nextServiceTime()
{
    const double factor = std::min(-std::log(1.0 - m_random.unit()), kLongestServiceFactor);
    return Duration(std::llround(static_cast<double>(m_options.meanServiceTime.count()) * factor * m_slowFactor));
}

std::uint32_t BackendModel::bearable() const
{
    if (!isCold()) {
        return m_options.slots;
    }
    const double warmed = std::chrono::duration<double>(m_clock.now() - *m_coldSince) / std::chrono::duration<double>(m_options.warmUp);
    const auto gained = static_cast<std::uint32_t>(warmed * (m_options.slots - m_options.coldSlots));
    return std::min(m_options.coldSlots + gained, m_options.slots);
}

bool BackendModel::isCold() const
{
    return m_coldSince && m_clock.now() - *m_coldSince < m_options.warmUp;
}

void BackendModel::turnCold()
{
    m_coldSince = m_clock.now();
}

void BackendModel::setSlowFactor(double factor)
{
    m_slowFactor = factor;
}

std::uint32_t BackendModel::running() const
{
    return m_running;
}

std::uint64_t BackendModel::started() const
{
    return m_started;
}

std::uint64_t BackendModel::shed() const
{
    return m_shed;
}

std::uint64_t BackendModel::staleGrants() const
{
    return m_staleGrants;
}

bool BackendModel::grantIsValid(const BackendRequest &request)
{
    if (!m_options.fenced || !request.partition) {
        return true;
    }
    if (request.grantUntil && m_clock.now() >= *request.grantUntil) {
        return false;
    }
    auto &highest = m_highestEpoch[*request.partition];
    if (request.epoch < highest) {
        return false;
    }
    highest = request.epoch;
    return true;
}

} // namespace Toucandeck::Standin
