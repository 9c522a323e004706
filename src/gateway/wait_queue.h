#pragma once

#include "gateway/fair_shares.h"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

namespace Toucandeck
{

/// A call that waits for a slot.
struct WaitingCall
{
    std::uint64_t id = 0;
    Call call;
    CallDone done;
    TimePoint enqueuedAt;
    Duration serviceTime; ///< Expected service time.
    Duration fairTag{}; ///< Start tag of FairShares, set by the queue.
};

/// Strategy that decides which waiting call is dispatched next.
class QueueOrder
{
public:
    virtual ~QueueOrder() = default;

    /// True if @p a is dispatched before @p b.
    virtual bool precedes(const WaitingCall &a, const WaitingCall &b, TimePoint now) const = 0;
};

/// Orders calls by arrival.
class ArrivalOrder : public QueueOrder
{
public:
    bool precedes(const WaitingCall &a, const WaitingCall &b, TimePoint now) const override;
};

/// Orders nested calls first, since the requests that sent them occupy slots elsewhere; then by rank, where the value that a call loses if
/// it misses its latency target counts by the probability of that. Among equals, nested calls of requests that have more answers already
/// go first, since such a request has used more slots in vain if one of its calls is refused; then the earlier latency target goes first.
/// A retry of a client is a call with less time left, so in an overload it follows fresh requests that can still be answered in time.
class UrgencyOrder : public QueueOrder
{
public:
    bool precedes(const WaitingCall &a, const WaitingCall &b, TimePoint now) const override;
};

/// The same, but a call in time goes before a late one of the next more urgent rank, and calls of one rank share the slots equally
/// between the entry gateways that sent them (see FairShares).
class FairUrgencyOrder : public QueueOrder
{
public:
    bool precedes(const WaitingCall &a, const WaitingCall &b, TimePoint now) const override;
};

/// Calls that wait for a slot of one backend server.
class WaitQueue
{
public:
    /// @param order must outlive the queue.
    explicit WaitQueue(const QueueOrder &order);

    void push(WaitingCall call);
    std::optional<WaitingCall> popFirst(TimePoint now);
    /// The first of the requests of clients.
    std::optional<WaitingCall> popFirstOfClients(TimePoint now);
    std::optional<WaitingCall> remove(std::uint64_t id);

    /// Tag of FairShares that the call gets if it is pushed now.
    Duration fairTag(const Call &call) const;

    /// The calls in the order in which they would be dispatched now. Valid until the queue changes.
    std::vector<const WaitingCall *> inOrder(TimePoint now) const;

    /// Total service time of all calls.
    Duration serviceTime() const;

    /// Total service time of the calls that would be dispatched before this one.
    Duration serviceTimeBefore(const WaitingCall &call, TimePoint now) const;
    /// The same for requests of clients only.
    Duration clientServiceTimeBefore(const WaitingCall &call, TimePoint now) const;

    /// Removes and returns the calls for which @p condition yields true.
    template<class Condition>
    std::vector<WaitingCall> removeIf(Condition condition)
    {
        std::vector<WaitingCall> removed;
        for (auto it = m_calls.begin(); it != m_calls.end();) {
            if (condition(*it)) {
                removed.push_back(std::move(*it));
                it = m_calls.erase(it);
            } else {
                ++it;
            }
        }
        for (auto it = removed.rbegin(); it != removed.rend(); ++it) {
            refund(*it); // The latest first, so that the tags of the calls between them still tell which come later.
        }
        return removed;
    }

    std::size_t size() const;
    /// Number of calls of this origin.
    std::size_t count(CallOrigin origin) const;

private:
    using Predicate = bool (*)(const WaitingCall &);

    std::optional<WaitingCall> popFirstIf(Predicate predicate, TimePoint now);
    /// Handles a call that has left the queue without being dispatched.
    void refund(const WaitingCall &removed);
    Duration serviceTimeBeforeIf(Predicate predicate, const WaitingCall &call, TimePoint now) const;

    const QueueOrder &m_order;
    std::list<WaitingCall> m_calls;
    std::array<std::size_t, kCallOriginCount> m_counts{}; ///< By origin.
    FairShares m_shares;
};

} // namespace Toucandeck
