#include "gateway/wait_queue.h"

#include <algorithm>
#include <compare>

namespace Toucandeck
{

namespace
{

constexpr double kLateRankPenalty = 1; ///< A late answer has a third of the value, about the difference between two ranks.

/// Service times are taken to be spread evenly between the expected one less this share and the expected one plus this share.
constexpr double kServiceTimeSpread = 0.5;
constexpr std::chrono::duration<double> kMinServiceTime{ 0.001 };

/// Estimated probability that a call misses its latency target if it starts now.
double probabilityOfMiss(const WaitingCall &it, TimePoint now)
{
    const std::chrono::duration<double> slack = it.call.targetTime - now;
    const auto serviceTime = std::max<std::chrono::duration<double>>(it.serviceTime, kMinServiceTime);
    const double longest = 1 + kServiceTimeSpread;
    return std::clamp((longest - slack / serviceTime) / (2 * kServiceTimeSpread), 0.0, 1.0);
}

double effectiveRank(const WaitingCall &it, TimePoint now)
{
    return it.call.rank + kLateRankPenalty * probabilityOfMiss(it, now);
}

bool isAny(const WaitingCall & /*it*/)
{
    return true;
}

bool isOfClient(const WaitingCall &it)
{
    return !it.call.nested;
}

/// Less if @p a is more urgent: nested calls, then the effective rank, then the progress of the parent.
std::weak_ordering compareUrgency(const WaitingCall &a, const WaitingCall &b, TimePoint now)
{
    if (a.call.nested != b.call.nested) {
        return a.call.nested ? std::weak_ordering::less : std::weak_ordering::greater;
    }
    const double rankA = effectiveRank(a, now);
    const double rankB = effectiveRank(b, now);
    if (rankA != rankB) {
        return rankA < rankB ? std::weak_ordering::less : std::weak_ordering::greater;
    }
    return b.call.siblingAnswers <=> a.call.siblingAnswers;
}

bool precedesByTarget(const WaitingCall &a, const WaitingCall &b)
{
    return a.call.targetTime != b.call.targetTime ? a.call.targetTime < b.call.targetTime : a.id < b.id;
}

} // namespace

bool ArrivalOrder::precedes(const WaitingCall &a, const WaitingCall &b, TimePoint /*now*/) const
{
    return a.id < b.id;
}

bool UrgencyOrder::precedes(const WaitingCall &a, const WaitingCall &b, TimePoint now) const
{
    const auto byUrgency = compareUrgency(a, b, now);
    return std::is_neq(byUrgency) ? std::is_lt(byUrgency) : precedesByTarget(a, b);
}

bool FairUrgencyOrder::precedes(const WaitingCall &a, const WaitingCall &b, TimePoint now) const
{
    const auto byUrgency = compareUrgency(a, b, now);
    if (std::is_neq(byUrgency)) {
        return std::is_lt(byUrgency);
    }
    if (a.call.rank != b.call.rank) {
        return a.call.rank > b.call.rank; // The other one is late.
    }
    return a.fairTag != b.fairTag ? a.fairTag < b.fairTag : precedesByTarget(a, b);
}

WaitQueue::WaitQueue(const QueueOrder &order)
    : m_order(order)
{
}

void WaitQueue::push(WaitingCall call)
{
    call.fairTag = fairTag(call.call);
    ++m_counts.at(static_cast<std::size_t>(originOf(call.call)));
    m_shares.charge(call.call, call.fairTag, call.serviceTime);
    m_calls.push_back(std::move(call));
}

std::optional<WaitingCall> WaitQueue::popFirst(TimePoint now)
{
    return popFirstIf(isAny, now);
}

std::optional<WaitingCall> WaitQueue::popFirstOfClients(TimePoint now)
{
    return popFirstIf(isOfClient, now);
}

std::optional<WaitingCall> WaitQueue::popFirstIf(Predicate predicate, TimePoint now)
{
    auto first = m_calls.end();
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        if (predicate(*it) && (first == m_calls.end() || m_order.precedes(*it, *first, now))) {
            first = it;
        }
    }
    if (first == m_calls.end()) {
        return std::nullopt;
    }
    auto call = std::move(*first);
    m_calls.erase(first);
    --m_counts.at(static_cast<std::size_t>(originOf(call.call)));
    m_shares.recordDispatch(call.call, call.fairTag);
    return call;
}

std::optional<WaitingCall> WaitQueue::remove(std::uint64_t id)
{
    const auto it = std::find_if(m_calls.begin(), m_calls.end(), [id](const WaitingCall &call) { return call.id == id; });
    if (it == m_calls.end()) {
        return std::nullopt;
    }
    auto call = std::move(*it);
    m_calls.erase(it);
    refund(call);
    return call;
}

void WaitQueue::refund(const WaitingCall &removed)
{
    --m_counts.at(static_cast<std::size_t>(originOf(removed.call)));
    m_shares.refund(removed.call, removed.serviceTime);
    for (auto &it : m_calls) {
        if (it.fairTag > removed.fairTag && FairShares::sameShare(it.call, removed.call)) {
            it.fairTag -= removed.serviceTime;
        }
    }
}

Duration WaitQueue::fairTag(const Call &call) const
{
    return m_shares.startTag(call);
}

std::vector<const WaitingCall *> WaitQueue::inOrder(TimePoint now) const
{
    std::vector<const WaitingCall *> calls;
    calls.reserve(m_calls.size());
    for (const auto &it : m_calls) {
        calls.push_back(&it);
    }
    std::sort(calls.begin(), calls.end(), [this, now](const auto *a, const auto *b) { return m_order.precedes(*a, *b, now); });
    return calls;
}

Duration WaitQueue::serviceTime() const
{
    Duration sum{};
    for (const auto &it : m_calls) {
        sum += it.serviceTime;
    }
    return sum;
}

Duration WaitQueue::serviceTimeBefore(const WaitingCall &call, TimePoint now) const
{
    return serviceTimeBeforeIf(isAny, call, now);
}

Duration WaitQueue::clientServiceTimeBefore(const WaitingCall &call, TimePoint now) const
{
    return serviceTimeBeforeIf(isOfClient, call, now);
}

Duration WaitQueue::serviceTimeBeforeIf(Predicate predicate, const WaitingCall &call, TimePoint now) const
{
    Duration serviceTime{};
    for (const auto &it : m_calls) {
        if (predicate(it) && it.id != call.id && m_order.precedes(it, call, now)) {
            serviceTime += it.serviceTime;
        }
    }
    return serviceTime;
}

std::size_t WaitQueue::size() const
{
    return m_calls.size();
}

std::size_t WaitQueue::count(CallOrigin origin) const
{
    return m_counts.at(static_cast<std::size_t>(origin));
}

} // namespace Toucandeck
