#include "routing/hedge_race.h"

#include "common/assert.h"

#include <algorithm>
#include <utility>

namespace Toucandeck
{

void HedgeRace::add(std::uint64_t attempt)
{
    TOUCANDECK_ASSERT(!m_answered, "an answered request gets no further attempts");
    TOUCANDECK_ASSERT(std::find(m_running.begin(), m_running.end(), attempt) == m_running.end(), "an attempt is sent once");
    m_running.push_back(attempt);
}

std::optional<std::vector<std::uint64_t>> HedgeRace::won(std::uint64_t attempt)
{
    if (std::erase(m_running, attempt) == 0) {
        return std::nullopt;
    }
    TOUCANDECK_ASSERT(!m_answered, "a request is answered once");
    m_answered = true;
    return std::exchange(m_running, {});
}

bool HedgeRace::lost(std::uint64_t attempt)
{
    return std::erase(m_running, attempt) > 0 && m_running.empty();
}

bool HedgeRace::isAnswered() const
{
    return m_answered;
}

std::size_t HedgeRace::running() const
{
    return m_running.size();
}

} // namespace Toucandeck
