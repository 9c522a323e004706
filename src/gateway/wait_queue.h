#pragma once

#include "gateway/call.h"

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
    TimePoint since;
    Duration work; ///< Expected time in a slot.
};

/// Decides which waiting call gets the next slot.
class QueueOrder
{
public:
    virtual ~QueueOrder() = default;

    /// True if @p a goes before @p b.
    virtual bool before(const WaitingCall &a, const WaitingCall &b, TimePoint now) const = 0;
};

/// In the order of arrival.
class ArrivalOrder : public QueueOrder
{
public:
    bool before(const WaitingCall &a, const WaitingCall &b, TimePoint now) const override;
};

/// Calls of running work first, since it holds a slot elsewhere meanwhile; then by rank, where a call that can no longer make its
/// aim ranks behind those that can, and one whose caller was turned away before goes ahead of its equals; then by aim.
class UrgencyOrder : public QueueOrder
{
public:
    bool before(const WaitingCall &a, const WaitingCall &b, TimePoint now) const override;
};

/// Calls that wait for a slot of one backend server.
class WaitQueue
{
public:
    /// @param order must outlive the queue.
    explicit WaitQueue(const QueueOrder &order);

    void push(WaitingCall call);
    std::optional<WaitingCall> popFirst(TimePoint now);
    std::optional<WaitingCall> remove(std::uint64_t id);

    /// Work of the calls that would go before this one.
    Duration workBefore(const WaitingCall &call, TimePoint now) const;

    /// Takes out the calls for which @p hopeless yields true.
    template<class Predicate>
    std::vector<WaitingCall> removeIf(Predicate hopeless)
    {
        std::vector<WaitingCall> removed;
        for (auto it = m_calls.begin(); it != m_calls.end();) {
            if (hopeless(*it)) {
                removed.push_back(std::move(*it));
                it = m_calls.erase(it);
            } else {
                ++it;
            }
        }
        return removed;
    }

    std::size_t size() const;

private:
    const QueueOrder &m_order;
    std::list<WaitingCall> m_calls;
};

} // namespace Toucandeck
