#pragma once

#include "gateway/call.h"
#include "gateway/nested_call_gate.h"
#include "gateway/parent_times.h"

#include "log/logger.h"

#include <functional>
#include <map>
#include <memory>

namespace Toucandeck
{

/// How a nested call ended, as far as it tells about the capacity of the service that it was sent to.
enum class NestedCallEnd {
    Served,
    Failed, ///< For a reason other than capacity.
    OutOfCapacity, ///< Refused for lack of capacity, or not answered by its deadline.
};

/// Follows the calls at the backend server on this VM with their nested calls: refuses requests of clients whose nested calls could not be
/// served, and passes the urgency and the deadline of a request on to its nested calls.
class ParentRequests
{
public:
    /// Kind of a call, as a rule the name of its route.
    using KindOf = std::function<std::string(const Call &)>;
    using Slots = std::function<std::uint32_t()>;

    /// @param slots yields the number of slots of the backend server. Must outlive all callbacks passed to enter().
    ParentRequests(const Clock &clock, Logger &logger, KindOf kindOf, Slots slots);

    /// Handles a call that arrives. @p done is extended so that the end of the call is noticed, also if it is dropped without being called.
    /// @return the delay of a retry if the call must be refused, none if it may run.
    std::optional<Duration> enter(const Call &call, CallDone &done);

    /// Gives a nested call the rank of its parent if that is more urgent, and an earlier deadline if the parent would miss its own
    /// otherwise.
    void passOn(std::string_view parentId, Call &nested) const;
    void onNestedCallEnded(std::string_view parentId, NestedCallEnd end);

    /// Forgets the kinds for which @p isKnown is false.
    void retain(const std::function<bool(const std::string &kind)> &isKnown);

    const NestedCallGate &gate() const;
    const ParentTimes &times() const;

private:
    /// A call from its arrival to its end.
    struct Parent
    {
        std::string kind;
        std::string requestId;
        std::uint32_t rank = 0;
        bool nested = false;
        bool answered = false; ///< Without an error.
        TimePoint deadline;
        TimePoint enteredAt;
        std::vector<TimePoint> answers; ///< Times of the answers to its nested calls.
    };

    using ParentPtr = std::shared_ptr<Parent>;

    void onEnd(const ParentPtr &it);

    const Clock &m_clock;
    Logger &m_logger;
    KindOf m_kindOf;
    Slots m_slots;
    NestedCallGate m_gate;
    ParentTimes m_times;
    std::map<std::string, ParentPtr, std::less<>> m_parents; ///< By request id.
};

} // namespace Toucandeck
