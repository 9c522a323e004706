#include "prove/state/naive_state.h"

#include "state/cluster_state.h"
#include "state/table_columns.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Toucandeck::testing
{

namespace
{

using Ownership = NaiveState::Ownership;

std::string nameOf(const wire::TableRow &row)
{
    const auto star = [](const std::string &part) { return part.empty() ? std::string("*") : part; };
    return star(row.service()) + "/" + star(row.failure_domain()) + "/" + star(row.instance());
}

NaiveState::Columns columnsOf(const wire::TableRow &row)
{
    NaiveState::Columns columns;
    const auto put = [&columns](bool isSet, const char *name, const std::string &value) {
        if (isSet) {
            columns[name] = value;
        }
    };
    put(row.has_weight(), "weight", std::to_string(row.weight()));
    put(row.has_slots(), "slots", std::to_string(row.slots()));
    put(row.has_connections(), "connections", std::to_string(row.connections()));
    put(row.state() != wire::UNSET, "state", std::to_string(row.state()));
    put(row.has_leave_time_ms(), "leave_time", std::to_string(row.leave_time_ms()));
    put(row.has_key(), "key", row.key());
    put(row.has_partitions(), "partitions", std::to_string(row.partitions()));
    put(row.has_fenced(), "fenced", row.fenced() ? "yes" : "no");
    return columns;
}

bool inRange(const std::string &value, int min, int max)
{
    const auto n = std::stoll(value);
    return n >= min && n <= max;
}

bool isValidValue(const std::string &column, const std::string &value)
{
    static const std::map<std::string, std::pair<int, int>> ranges{ { "weight", { 0, 1000 } },
                                                                    { "slots", { 1, 10'000 } },
                                                                    { "connections", { 1, 100'000 } },
                                                                    { "partitions", { 1, 65'536 } },
                                                                    { "state", { 1, 3 } } };
    if (const auto it = ranges.find(column); it != ranges.end()) {
        return inRange(value, it->second.first, it->second.second);
    }
    static const std::set<std::string> keys{ "none", "segment:1", "segment:2", "header:Toucandeck-Key" };
    return column == "key" ? keys.contains(value) : column != "leave_time" || std::stoll(value) >= 0;
}

bool isKeyed(const NaiveState::Columns &columns)
{
    const auto it = columns.find("key");
    return it != columns.end() && it->second != "none";
}

std::string formatEntry(const std::string &kind, const std::string &service, std::uint64_t item, const Ownership &it)
{
    return fmt::format("{} {}/{} owner={:x} epoch={} to={:x} crash={}{}\n",
                       kind,
                       service,
                       item,
                       it.owner,
                       it.epoch,
                       it.movingTo,
                       it.crashMs,
                       it.crashed ? " crashed" : "");
}

std::string formatEntry(const std::string &row, const NaiveState::Columns &columns, std::uint64_t revision)
{
    auto buf = fmt::format("row {} revision={}", row, revision);
    for (const auto &[name, value] : columns) {
        buf += fmt::format(" {}={}", name, value);
    }
    return buf + "\n";
}

template<class Item>
Ownership ownershipOf(const Item &it)
{
    return { it.owner(), it.epoch(), it.moving_to(), it.crash_granted_ms(), it.crashed() };
}

} // namespace

std::string dump(const View &view)
{
    std::map<std::string, std::string> rows;
    for (const auto &[key, it] : view.rows()) {
        rows[nameOf(it)] = formatEntry(nameOf(it), columnsOf(it), it.revision());
    }
    std::string buf;
    for (const auto &[name, it] : rows) {
        buf += it;
    }
    for (const auto &[id, it] : view.sessions()) {
        buf += fmt::format("session {}\n", it.ShortDebugString());
    }
    for (const auto &service : view.services()) {
        for (const auto &it : view.assignments(service)) {
            buf += it.epoch() == 0 ? std::string() : formatEntry("partition", service, it.partition(), ownershipOf(it));
        }
    }
    for (const auto &service : view.services()) {
        for (const auto &[hash, it] : view.hotKeys(service)) {
            buf += formatEntry("hot", service, hash.value, ownershipOf(it));
        }
    }
    return buf;
}

std::string NaiveState::dump() const
{
    std::string buf;
    for (const auto &[name, columns] : m_rows) {
        buf += formatEntry(name, columns, m_revisions.at(name));
    }
    for (const auto &[id, it] : m_sessions) {
        buf += fmt::format("session {}\n", it.ShortDebugString());
    }
    for (const auto &[at, it] : m_partitions) {
        buf += it.epoch == 0 ? std::string() : formatEntry("partition", at.first, at.second, it);
    }
    for (const auto &[at, it] : m_hotKeys) {
        buf += formatEntry("hot", at.first, at.second, it);
    }
    return buf;
}

void NaiveState::apply(std::uint64_t index, const wire::Command &command)
{
    if (command.has_edit_table()) {
        editStatus = edit(index, command.edit_table());
    } else if (command.has_register_session()) {
        isRegistrationAccepted = registerSession(command.register_session().session());
    } else if (command.has_expire_session()) {
        endSession(command.expire_session().session());
    } else if (command.has_close_session()) {
        endSession(command.close_session().session());
    } else if (command.has_set_hot_key()) {
        setHotKey(command.set_hot_key());
    } else if (command.has_release_hot_key()) {
        const auto &it = command.release_hot_key();
        const auto found = m_hotKeys.find({ it.service(), it.key_hash() });
        release(found == m_hotKeys.end() ? nullptr : &found->second, it.session(), it.receiver());
    }
    for (const auto &it : command.grant_partitions().grants()) {
        grant(it);
    }
    for (const auto &it : command.begin_moves().moves()) {
        move(it);
    }
    const auto &releases = command.release_partitions();
    for (const auto it : releases.partitions()) {
        release(partition(releases.service(), it), releases.session(), releases.receiver());
    }
}

wire::EditStatus NaiveState::edit(std::uint64_t index, const wire::EditTable &edit)
{
    if (const auto it = m_edits.find(edit.request_id()); it != m_edits.end()) {
        return it->second;
    }
    bool valid = !edit.request_id().empty() && !edit.edits().empty();
    bool conflict = false;
    bool fit = true;
    std::set<std::string> names;
    for (const auto &it : edit.edits()) {
        const auto name = nameOf(it.row());
        valid = valid && isValid(it) && names.insert(name).second;
        conflict = conflict || it.seen_revision() != (m_revisions.contains(name) ? m_revisions.at(name) : 0);
        fit = fit && isCompatible(it);
    }
    const auto status = !valid ? wire::INVALID : conflict ? wire::CONFLICT : fit ? wire::ACCEPTED : wire::INVALID;
    if (status == wire::ACCEPTED) {
        for (const auto &it : edit.edits()) {
            applyRowEdit(index, it);
        }
    }
    if (!edit.request_id().empty()) {
        m_edits[edit.request_id()] = status;
        m_editOrder.push_back(edit.request_id());
    }
    if (m_editOrder.size() > ClusterState::maxRetainedEditAnswers) {
        m_edits.erase(m_editOrder.front());
        m_editOrder.erase(m_editOrder.begin());
    }
    return status;
}

bool NaiveState::isValid(const wire::RowEdit &edit) const
{
    static const std::set<std::string> serviceOnly{ "key", "partitions", "fenced" };
    const auto &row = edit.row();
    const bool isService = !row.service().empty() && row.failure_domain().empty() && row.instance().empty();
    const bool isInstance = !row.instance().empty();
    if ((row.service().empty() && row.failure_domain().empty())
        || (isInstance && (row.service().empty() || row.failure_domain().empty()))) {
        return false;
    }
    const auto columns = columnsOf(row);
    for (const auto &[name, value] : columns) {
        if (!isValidValue(name, value) || (serviceOnly.contains(name) && !isService)) {
            return false;
        }
    }
    for (const auto &name : edit.clear()) {
        if (findColumn(name) == nullptr || columns.contains(name) || (serviceOnly.contains(name) && !isService)) {
            return false;
        }
    }
    return !columns.empty() || !edit.clear().empty();
}

NaiveState::Columns NaiveState::merged(const wire::RowEdit &edit) const
{
    const auto it = m_rows.find(nameOf(edit.row()));
    auto columns = it == m_rows.end() ? Columns() : it->second;
    for (const auto &[name, value] : columnsOf(edit.row())) {
        columns[name] = value;
    }
    for (const auto &name : edit.clear()) {
        columns.erase(name);
    }
    return columns;
}

bool NaiveState::isCompatible(const wire::RowEdit &edit) const
{
    const auto it = m_rows.find(nameOf(edit.row()));
    if (it == m_rows.end()) {
        return true;
    }
    const auto after = merged(edit);
    const auto old = it->second.find("partitions");
    const bool samePartitions = old == it->second.end() || (after.contains("partitions") && after.at("partitions") == old->second);
    return samePartitions && (!isKeyed(it->second) || isKeyed(after));
}

void NaiveState::applyRowEdit(std::uint64_t index, const wire::RowEdit &edit)
{
    const auto name = nameOf(edit.row());
    auto columns = merged(edit);
    if (isKeyed(columns)) {
        columns.emplace("partitions", "256");
        m_partitionCounts[edit.row().service()] = static_cast<std::uint32_t>(std::stoul(columns["partitions"]));
    }
    if (!m_rows.contains(name) || m_rows.at(name) != columns) {
        m_rows[name] = columns;
        m_revisions[name] = index;
    }
}

bool NaiveState::registerSession(const wire::RouterSession &session)
{
    if (session.session() == 0 || session.service().empty() || session.failure_domain().empty() || session.instance().empty()) {
        return false;
    }
    const auto location = [](const wire::RouterSession &it) { return it.service() + "/" + it.failure_domain() + "/" + it.instance(); };
    for (const auto &[id, it] : m_sessions) {
        if ((id == session.session()) != (location(it) == location(session))) {
            return false;
        }
    }
    m_sessions[session.session()] = session;
    return true;
}

void NaiveState::endSession(std::uint64_t session)
{
    if (m_sessions.erase(session) == 0) {
        return;
    }
    for (auto *all : { &m_partitions, &m_hotKeys }) {
        for (auto &[at, it] : *all) {
            if (it.owner == session) {
                it = { 0, it.epoch, 0, it.crashMs, true };
            } else if (it.movingTo == session) {
                it.movingTo = 0;
            }
        }
    }
}

bool NaiveState::isSessionOf(std::uint64_t session, const std::string &service) const
{
    const auto it = m_sessions.find(session);
    return it != m_sessions.end() && it->second.service() == service;
}

NaiveState::Ownership *NaiveState::partition(const std::string &service, std::uint64_t number)
{
    const auto it = m_partitionCounts.find(service);
    return it == m_partitionCounts.end() || number >= it->second ? nullptr : &m_partitions[{ service, number }];
}

void NaiveState::assignOwner(Ownership &ownership, std::uint64_t session, std::int64_t wallTime)
{
    ownership.owner = session;
    ownership.epoch = m_nextEpoch++;
    ownership.crashMs = ownership.crashed ? std::max(ownership.crashMs, wallTime) : ownership.crashMs;
    ownership.crashed = false;
}

void NaiveState::grant(const wire::PartitionGrant &grant)
{
    auto *it = partition(grant.service(), grant.partition());
    if (it != nullptr && it->owner == 0 && it->epoch == grant.previous_epoch() && isSessionOf(grant.session(), grant.service())) {
        assignOwner(*it, grant.session(), grant.wall_time_ms());
    }
}

void NaiveState::move(const wire::PartitionGrant &move)
{
    auto *it = partition(move.service(), move.partition());
    if (it == nullptr || it->owner == 0 || it->epoch != move.previous_epoch()) {
        return;
    }
    if (it->movingTo != 0 && move.session() == 0) {
        it->movingTo = 0;
    } else if (it->movingTo == 0 && move.session() != it->owner && isSessionOf(move.session(), move.service())) {
        it->movingTo = move.session();
    }
}

void NaiveState::release(Ownership *ownership, std::uint64_t session, std::uint64_t receiver)
{
    if (ownership == nullptr || session == 0 || ownership->owner != session || (receiver != 0 && receiver != ownership->movingTo)) {
        return;
    }
    *ownership = { ownership->movingTo, m_nextEpoch++, 0, ownership->crashMs, ownership->movingTo == 0 };
}

void NaiveState::setHotKey(const wire::SetHotKey &command)
{
    const auto &requested = command.hot_key();
    const auto count = m_partitionCounts.find(requested.service());
    if (count == m_partitionCounts.end()) {
        return;
    }
    auto &partition = m_partitions[{ requested.service(), requested.key_hash() % count->second }];
    const std::pair at(requested.service(), requested.key_hash());
    const bool isNew = !m_hotKeys.contains(at);
    auto current = isNew ? partition : m_hotKeys.at(at);
    if (current.epoch != command.previous_epoch() || (isNew && partition.movingTo != 0)) {
        return;
    }
    if (!isNew && requested.owner() == 0) {
        const bool drop = (current.owner != 0 && current.owner == partition.owner) || (current.crashed && partition.crashed);
        if (drop && requested.moving_to() == 0 && current.movingTo == 0 && partition.movingTo == 0) {
            partition.epoch = m_nextEpoch++;
            partition.crashMs = std::max(partition.crashMs, current.crashMs);
            m_hotKeys.erase(at);
        }
        return;
    }
    if (current.owner == 0) {
        if (requested.moving_to() == 0 && isSessionOf(requested.owner(), requested.service())) {
            assignOwner(current, requested.owner(), requested.crash_granted_ms());
            m_hotKeys[at] = current;
        }
        return;
    }
    const bool begins
        = current.movingTo == 0 && requested.moving_to() != current.owner && isSessionOf(requested.moving_to(), requested.service());
    const bool cancels = current.movingTo != 0 && requested.moving_to() == 0;
    const bool pins = isNew && requested.moving_to() == 0;
    if (requested.owner() == current.owner && (begins || cancels || pins)) {
        current.movingTo = requested.moving_to();
        m_hotKeys[at] = current;
    }
}

} // namespace Toucandeck::testing
