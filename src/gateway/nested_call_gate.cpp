#include "gateway/nested_call_gate.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr double kDecrease = 0.8; ///< Factor of a decrease.
/// Refusals come in groups, and their effect on the nested service is seen only once the requests in progress have ended.
constexpr milliseconds kDecreaseInterval{ 250 };
/// Time in which the limit rises by the number of slots, so that a service that has recovered is used again within two seconds.
constexpr std::chrono::duration<double> kRiseTime{ 1.5 };
/// Longest time between two served calls that counts for the rise; a kind without requests learns nothing.
constexpr milliseconds kMaxRiseStep{ 500 };
constexpr double kMeanSmoothing = 0.1; ///< Weight of the latest request in the mean time.
constexpr std::size_t kMaxKinds = 4096; ///< Bounds the memory; further kinds are not limited.

} // namespace

NestedCallGate::NestedCallGate(const Clock &clock)
    : m_clock(clock)
{
}

bool NestedCallGate::tryEnter(const std::string &kind)
{
    if (m_kinds.size() >= kMaxKinds && m_kinds.count(kind) == 0) {
        return true;
    }
    auto &it = m_kinds[kind];
    if (it.limit && it.pending + 1 > *it.limit) {
        ++m_refusedRequests;
        return false;
    }
    ++it.pending;
    return true;
}

void NestedCallGate::leave(const std::string &kind, Duration took)
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        return;
    }
    auto &it = found->second;
    it.pending -= it.pending > 0 ? 1 : 0;
    if (took == Duration::zero()) {
        return;
    }
    it.meanTime = it.meanTime == Duration::zero()
        ? took
        : it.meanTime + std::chrono::duration_cast<Duration>((took - it.meanTime) * kMeanSmoothing);
}

bool NestedCallGate::onCallRefused(const std::string &kind, std::uint32_t slots)
{
    const auto found = m_kinds.find(kind);
    const auto now = m_clock.now();
    if (found == m_kinds.end() || now - found->second.loweredAt < kDecreaseInterval) {
        return false;
    }
    auto &it = found->second;
    // Requests that wait for a slot count as pending; a limit above the number of slots would not protect the nested service.
    const double current
        = std::min<double>({ it.limit.value_or(slots), static_cast<double>(std::max(1U, it.pending)), static_cast<double>(slots) });
    it.limit = std::max(1.0, current * kDecrease);
    it.changedAt = now;
    it.loweredAt = now;
    return true;
}

void NestedCallGate::onCallServed(const std::string &kind, std::uint32_t slots)
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || !found->second.limit) {
        return;
    }
    auto &it = found->second;
    const auto now = m_clock.now();
    const std::chrono::duration<double> elapsed = std::min<Duration>(now - it.changedAt, kMaxRiseStep);
    it.limit = *it.limit + slots * (elapsed / kRiseTime);
    it.changedAt = now;
    if (*it.limit >= slots) {
        it.limit.reset();
    }
}

std::optional<double> NestedCallGate::limit(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? std::nullopt : found->second.limit;
}

std::optional<double> NestedCallGate::lowestLimit() const
{
    std::optional<double> lowest;
    for (const auto &[kind, it] : m_kinds) {
        if (it.limit) {
            lowest = std::min(*it.limit, lowest.value_or(*it.limit));
        }
    }
    return lowest;
}

Duration NestedCallGate::retryAfter(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || !found->second.limit) {
        return {};
    }
    const auto &it = found->second;
    return std::chrono::duration_cast<Duration>(it.meanTime * std::max(1.0, it.pending / *it.limit));
}

std::uint64_t NestedCallGate::refusedRequests() const
{
    return m_refusedRequests;
}

void NestedCallGate::retain(const std::function<bool(const std::string &kind)> &isKnown)
{
    std::erase_if(m_kinds, [&isKnown](const auto &it) { return it.second.pending == 0 && !isKnown(it.first); });
}

std::size_t NestedCallGate::size() const
{
    return m_kinds.size();
}

} // namespace Toucandeck
