// Sessions: registration and end.
#include "state/cluster_state.h"

#include <fmt/format.h>
#include <vector>

namespace Toucandeck
{

namespace
{

bool isSamePlace(const wire::RouterSession &a, const wire::RouterSession &b)
{
    return a.service() == b.service() && a.failure_domain() == b.failure_domain() && a.instance() == b.instance();
}

std::string placeText(const wire::RouterSession &session)
{
    return toString(RowKey{ session.service(), session.failure_domain(), session.instance() });
}

/// Marks what the session owned as lost, and cancels moves towards it. Returns whether the item has changed.
template<class Item>
bool endOwnership(Item &item, SessionId session)
{
    if (item.owner() == session.value) {
        item.set_owner(0);
        item.set_moving_to(0);
        item.set_crashed(true);
        return true;
    }
    if (item.moving_to() == session.value) {
        item.set_moving_to(0);
        return true;
    }
    return false;
}

} // namespace

RegisterAnswer ClusterState::answerRegister(const wire::RouterSession &session) const
{
    if (session.session() == 0) {
        return { false, "session id 0 is reserved", {} };
    }
    for (const auto *it : { &session.service(), &session.failure_domain(), &session.instance() }) {
        if (!isValidName(*it)) {
            return { false, fmt::format("\"{}\" is not a valid name of a service, failure domain or instance", *it), {} };
        }
    }
    const SessionId id{ session.session() };
    if (const auto *present = m_view.session(id)) {
        if (!isSamePlace(*present, session)) {
            return { false, fmt::format("session {:x} is already registered for {}", id.value, placeText(*present)), id };
        }
        return { true, {}, id };
    }
    const auto holder = m_view.sessionOf(session.service(), session.failure_domain(), session.instance());
    if (holder) {
        // Two live sessions of one instance would both believe that they own its partitions.
        return { false, fmt::format("{} is held by session {:x} until that expires or closes", placeText(session), holder.value), holder };
    }
    return { true, {}, id };
}

void ClusterState::registerSession(const wire::Command &command)
{
    const auto &session = command.register_session().session();
    m_answer.registration = answerRegister(session);
    if (!m_answer.registration->accepted) {
        return;
    }
    const SessionId id{ session.session() };
    const auto *present = m_view.session(id);
    if (present == nullptr || present->SerializeAsString() != session.SerializeAsString()) {
        m_view.m_tables.putSession(session);
        m_changedSessions.insert(id);
    }
}

void ClusterState::expireSession(const wire::Command &command)
{
    endSession(SessionId{ command.expire_session().session() });
}

void ClusterState::closeSession(const wire::Command &command)
{
    // A partition that was granted while the request to close was on its way is marked crashed too: whatever the previous owner
    // handed over has gone with this session.
    endSession(SessionId{ command.close_session().session() });
}

void ClusterState::endSession(SessionId id)
{
    const auto *session = m_view.session(id);
    count(session != nullptr);
    if (session == nullptr) {
        return;
    }
    const auto service = session->service();
    for (auto it : m_view.assignments(service)) {
        if (endOwnership(it, id)) {
            changeAssignment(service, it);
        }
    }
    const auto hotKeys = m_view.hotKeys(service);
    for (const auto &[hash, present] : hotKeys) {
        auto changed = present;
        if (endOwnership(changed, id)) {
            changeHotKeyEntry(changed);
        }
    }
    m_view.m_tables.removeSession(id);
    m_changedSessions.insert(id);
}

} // namespace Toucandeck
