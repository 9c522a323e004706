#include "gateway/parent_requests.h"

#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr int kFirstErrorStatus = 500;

} // namespace

ParentRequests::ParentRequests(const Clock &clock, Logger &logger, KindOf kindOf, Slots slots)
    : m_clock(clock)
    , m_logger(logger)
    , m_kindOf(std::move(kindOf))
    , m_slots(std::move(slots))
    , m_gate(clock)
{
}

std::optional<Duration> ParentRequests::enter(const Call &call, CallDone &done)
{
    auto kind = m_kindOf(call);
    // A refused nested call would waste the work of its own parent.
    if (!call.nested && !m_gate.tryEnter(kind)) {
        return m_gate.retryAfter(kind);
    }
    const auto it = std::make_shared<Parent>();
    it->kind = std::move(kind);
    it->requestId = call.requestId;
    it->rank = call.rank;
    it->nested = call.nested;
    it->deadline = call.deadline;
    it->enteredAt = m_clock.now();
    m_parents[it->requestId] = it;
    // Its deleter runs when the last copy of the callback is destroyed.
    const std::shared_ptr<void> end(nullptr, [this, it](void *) { onEnd(it); });
    done = [it, end, done = std::move(done)](CallResult result) {
        it->answered = result.outcome == wire::ANSWERED && result.response.status < kFirstErrorStatus;
        done(std::move(result));
    };
    return std::nullopt;
}

void ParentRequests::onEnd(const ParentPtr &it)
{
    // A repeated request has the id of the earlier one and has replaced it.
    if (const auto found = m_parents.find(it->requestId); found != m_parents.end() && found->second == it) {
        m_parents.erase(found);
    }
    const auto now = m_clock.now();
    if (!it->nested) {
        m_gate.leave(it->kind, it->answered ? now - it->enteredAt : Duration::zero());
    }
    for (std::size_t i = 0; it->answered && i < it->answers.size(); ++i) {
        m_times.record(it->kind, i, now - it->answers[i]);
    }
}

void ParentRequests::passOn(std::string_view parentId, Call &nested) const
{
    const auto found = m_parents.find(parentId);
    if (found == m_parents.end()) {
        return;
    }
    const auto &parent = found->second;
    nested.rank = std::min(nested.rank, parent->rank);
    const auto left = parent->deadline - m_clock.now();
    const auto reserve = m_times.reserve(parent->kind, parent->answers.size(), left);
    nested.deadline = std::min(nested.deadline, parent->deadline - reserve);
}

void ParentRequests::onNestedCallEnded(std::string_view parentId, NestedCallEnd end)
{
    const auto found = m_parents.find(parentId);
    if (found == m_parents.end()) {
        return;
    }
    auto &parent = *found->second;
    const bool limited = m_gate.limit(parent.kind).has_value();
    if (end == NestedCallEnd::Served) {
        parent.answers.push_back(m_clock.now());
        m_gate.onCallServed(parent.kind, m_slots());
    }
    const bool lowered = end == NestedCallEnd::OutOfCapacity && m_gate.onCallRefused(parent.kind, m_slots());
    const auto limit = m_gate.limit(parent.kind);
    if (lowered || limited != limit.has_value()) {
        m_logger.write(GatewayEvents::kNestedCallLimit,
                       { field("route", parent.kind), field("limit", limit ? fmt::format("{:.1f}", *limit) : std::string("none")) });
    }
}

const NestedCallGate &ParentRequests::gate() const
{
    return m_gate;
}

const ParentTimes &ParentRequests::times() const
{
    return m_times;
}

void ParentRequests::retain(const std::function<bool(const std::string &kind)> &isKnown)
{
    m_gate.retain(isKnown);
    m_times.retain(isKnown);
}

} // namespace Toucandeck
