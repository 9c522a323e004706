#include "routing/hedged_attempts.h"

#include "common/assert.h"

#include <algorithm>
#include <utility>

namespace Toucandeck
{

void HedgedAttempts::add(std::uint64_t attempt)
{
    TOUCANDECK_ASSERT(!m_isAnswered, "an answered request gets no further attempts");
    TOUCANDECK_ASSERT(std::find(m_runningAttempts.begin(), m_runningAttempts.end(), attempt) == m_runningAttempts.end(),
                      "an attempt is sent once");
    m_runningAttempts.push_back(attempt);
}

std::optional<std::vector<std::uint64_t>> HedgedAttempts::onAnswered(std::uint64_t attempt)
{
    if (std::erase(m_runningAttempts, attempt) == 0) {
        return std::nullopt;
    }
    TOUCANDECK_ASSERT(!m_isAnswered, "a request is answered once");
    m_isAnswered = true;
    return std::exchange(m_runningAttempts, {});
}

bool HedgedAttempts::onFailed(std::uint64_t attempt)
{
    return std::erase(m_runningAttempts, attempt) > 0 && m_runningAttempts.empty();
}

bool HedgedAttempts::isAnswered() const
{
    return m_isAnswered;
}

std::size_t HedgedAttempts::runningCount() const
{
    return m_runningAttempts.size();
}

} // namespace Toucandeck
