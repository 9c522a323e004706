// ClusterState: registration and termination of sessions.
#include "state/cluster_state.h"

#include <fmt/format.h>
#include <vector>

namespace Toucandeck
{

namespace
{

bool isSameInstance(const wire::RouterSession &a, const wire::RouterSession &b)
{
    return a.service() == b.service() && a.failure_domain() == b.failure_domain() && a.instance() == b.instance();
}

std::string instanceText(const wire::RouterSession &session)
{
    return toString(RowKey{ session.service(), session.failure_domain(), session.instance() });
}

/// Marks an item that the session owns as crashed, or cancels a handover to the session. Returns whether the item has changed.
template<class Item>
bool revokeOwnership(Item &item, SessionId session)
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

RegisterAnswer ClusterState::checkRegistration(const wire::RouterSession &session) const
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
    if (const auto *current = m_view.session(id)) {
        if (!isSameInstance(*current, session)) {
            return { false, fmt::format("session {:x} is already registered for {}", id.value, instanceText(*current)), id };
        }
        return { true, {}, id };
    }
    const auto holder = m_view.sessionOf(session.service(), session.failure_domain(), session.instance());
    if (holder) {
        // Two live sessions of one instance would both act as owner of its partitions.
        return { false,
                 fmt::format("{} is held by session {:x} until that expires or closes", instanceText(session), holder.value),
                 holder };
    }
    return { true, {}, id };
}

void ClusterState::registerSession(const wire::Command &command)
{
    const auto &session = command.register_session().session();
    m_answer.registration = checkRegistration(session);
    if (!m_answer.registration->accepted) {
        return;
    }
    const SessionId id{ session.session() };
    const auto *current = m_view.session(id);
    if (current == nullptr || current->SerializeAsString() != session.SerializeAsString()) {
        m_view.m_tables.putSession(session);
        m_changedSessions.insert(id);
    }
}

void ClusterState::expireSession(const wire::Command &command)
{
    terminateSession(SessionId{ command.expire_session().session() });
}

void ClusterState::closeSession(const wire::Command &command)
{
    // A partition that was granted while the close request was in transit is marked crashed too: the records that its previous
    // owner handed over are lost with this session.
    terminateSession(SessionId{ command.close_session().session() });
}

void ClusterState::terminateSession(SessionId id)
{
    const auto *session = m_view.session(id);
    countPart(session != nullptr);
    if (session == nullptr) {
        return;
    }
    const auto service = session->service();
    for (auto it : m_view.assignments(service)) {
        if (revokeOwnership(it, id)) {
            updateAssignment(service, it);
        }
    }
    const auto hotKeys = m_view.hotKeys(service);
    for (const auto &[hash, current] : hotKeys) {
        auto changed = current;
        if (revokeOwnership(changed, id)) {
            updateHotKey(changed);
        }
    }
    m_view.m_tables.removeSession(id);
    m_changedSessions.insert(id);
}

} // namespace Toucandeck
