#include "gateway/retry_detector.h"

#include "common/key_hash.h"

#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

/// Attempts arrive with different delays, so the deadlines of one client's attempts differ by up to this.
constexpr std::chrono::milliseconds kDeadlineTolerance{ 100 };
constexpr std::size_t kMaxAttempts = 8192; ///< Bounds the memory; the attempts with the earliest deadlines are dropped first.

} // namespace

RetryDetector::RetryDetector(const Clock &clock)
    : m_clock(clock)
{
}

std::uint64_t RetryDetector::fingerprint(const HttpRequest &request)
{
    const auto host = request.header("Host").value_or("");
    return hashKey(fmt::format("{}\n{}\n{}\n{}", request.method, host, request.target, hashKey(request.body).value)).value;
}

void RetryDetector::recordFailure(const ClientAttempt &attempt)
{
    forgetExpired();
    if (m_byDeadline.size() >= kMaxAttempts) {
        m_byDeadline.erase(m_byDeadline.begin());
    }
    m_byDeadline.emplace(attempt.deadline, attempt);
}

std::optional<ClientAttempt> RetryDetector::takeAttempt(std::uint64_t fingerprint, TimePoint deadline)
{
    const auto last = m_byDeadline.upper_bound(deadline + kDeadlineTolerance);
    for (auto it = m_byDeadline.lower_bound(deadline - kDeadlineTolerance); it != last; ++it) {
        if (it->second.fingerprint == fingerprint) {
            const auto attempt = it->second;
            m_byDeadline.erase(it);
            return attempt;
        }
    }
    return std::nullopt;
}

std::size_t RetryDetector::size() const
{
    return m_byDeadline.size();
}

void RetryDetector::forgetExpired()
{
    m_byDeadline.erase(m_byDeadline.begin(), m_byDeadline.lower_bound(m_clock.now() - kDeadlineTolerance));
}

} // namespace Toucandeck
