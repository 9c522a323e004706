#include "fleet/fleet_state.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

/// Accepted orders are recorded so that a retried order is acknowledged again instead of being refused, however late the retry.
constexpr std::size_t kMaxRecordedOrders = 16384;

/// Leaving backend servers to record. Beyond it the oldest is forgotten, whose process has ended long before.
constexpr std::size_t kMaxLeavingInstances = 4096;

} // namespace

void FleetState::setListener(Listener listener)
{
    m_listener = std::move(listener);
}

void FleetState::apply(LogIndex index, std::string_view command)
{
    wire::FleetCommand parsed;
    // A command that cannot be parsed, or is unknown to this version, has no effect on any controller.
    if (!parsed.ParseFromArray(command.data(), static_cast<int>(command.size()))) {
        parsed.Clear();
    }
    auto outcome = CommandOutcome::Conflict;
    switch (parsed.body_case()) {
    case wire::FleetCommand::kChangeManifest:
        outcome = applyChange(parsed.change_manifest());
        break;
    case wire::FleetCommand::kSetEvacuation:
        outcome = applyEvacuation(index, parsed.set_evacuation());
        break;
    case wire::FleetCommand::kSetKeys:
        outcome = applyKeys(index, parsed.set_keys());
        break;
    case wire::FleetCommand::kSetLeaving:
        outcome = applyLeaving(index, parsed.set_leaving());
        break;
    case wire::FleetCommand::BODY_NOT_SET:
        break;
    }
    if (m_listener) {
        m_listener(index, parsed, outcome);
    }
}

CommandOutcome FleetState::applyChange(const wire::ChangeManifest &change)
{
    if (isAccepted(change.order())) {
        return CommandOutcome::Repeated;
    }
    const auto version = change.upsert().version();
    if (change.base_version() != m_manifest.version() || version <= m_manifest.version()) {
        return CommandOutcome::Conflict;
    }
    m_manifest = manifestAfter(change);
    m_manifestBase = change.base_version();
    recordOrder(change.order(), version);
    return CommandOutcome::Applied;
}

wire::ManifestDocument FleetState::manifestAfter(const wire::ChangeManifest &change) const
{
    if (change.whole()) {
        return change.upsert();
    }
    auto document = m_manifest;
    document.set_version(change.upsert().version());
    for (const auto &it : change.removed_routes()) {
        document.mutable_routes()->erase(it);
    }
    for (const auto &it : change.removed_services()) {
        document.mutable_services()->erase(it);
    }
    for (const auto &[name, item] : change.upsert().routes()) {
        (*document.mutable_routes())[name] = item;
    }
    for (const auto &[name, item] : change.upsert().services()) {
        (*document.mutable_services())[name] = item;
    }
    if (!change.upsert().limits().empty()) {
        document.set_limits(change.upsert().limits());
    }
    return document;
}

void FleetState::recordOrder(const std::string &order, std::uint64_t version)
{
    m_orders[order] = version;
    m_ordersByAge.push_back(order);
    if (m_ordersByAge.size() > kMaxRecordedOrders) {
        m_orders.erase(m_ordersByAge.front());
        m_ordersByAge.pop_front();
    }
}

CommandOutcome FleetState::applyEvacuation(LogIndex index, const wire::SetEvacuation &evacuation)
{
    const bool changed = evacuation.active() ? m_evacuated.insert(evacuation.failure_domain()).second
                                             : m_evacuated.erase(evacuation.failure_domain()) != 0;
    if (!changed) {
        return CommandOutcome::Repeated;
    }
    m_evacuationRevision = index.value;
    return CommandOutcome::Applied;
}

CommandOutcome FleetState::applyKeys(LogIndex index, const wire::KeyTable &table)
{
    auto &current = m_tables[table.service()];
    std::vector<KeyRow> rows;
    for (const auto &it : table.rows()) {
        rows.push_back(fromWire(it));
        if (rows.back().fencingToken == 0 && !rows.back().holder.empty()) {
            rows.back().fencingToken = index.value;
        }
    }
    if (table.revision() != current.revision || !KeyRows::isComplete(rows)) {
        return CommandOutcome::Conflict;
    }
    for (const auto &it : rows) {
        TOUCANDECK_ASSERT(it.fencingToken <= index.value, "a fencing token must not exceed the log index of its assignment");
    }
    current.keys = KeyRows(std::move(rows));
    current.revision = index.value;
    return CommandOutcome::Applied;
}

CommandOutcome FleetState::applyLeaving(LogIndex index, const wire::LeavingInstance &leaving)
{
    if (leaving.router().empty() || leaving.incarnation().empty()) {
        return CommandOutcome::Conflict;
    }
    auto &departures = m_leaving[leaving.router()];
    if (!departures.processes.add(leaving.incarnation())) {
        return CommandOutcome::Repeated;
    }
    departures.revision = index.value;
    if (m_leaving.size() > kMaxLeavingInstances) {
        m_leaving.erase(std::min_element(
            m_leaving.begin(), m_leaving.end(), [](const auto &a, const auto &b) { return a.second.revision < b.second.revision; }));
    }
    return CommandOutcome::Applied;
}

std::string FleetState::snapshot() const
{
    wire::FleetSnapshot out;
    *out.mutable_manifest() = m_manifest;
    for (const auto &it : m_ordersByAge) {
        auto *order = out.add_orders();
        order->set_order(it);
        order->set_version(m_orders.at(it));
    }
    for (const auto &it : m_evacuated) {
        out.add_evacuated(it);
    }
    out.set_evacuation_revision(m_evacuationRevision);
    for (const auto &[service, table] : m_tables) {
        auto *it = out.add_tables();
        it->set_service(service);
        it->set_revision(table.revision);
        for (const auto &row : table.keys.rows()) {
            *it->add_rows() = toWire(row);
        }
    }
    for (const auto &[router, departures] : m_leaving) {
        for (const auto &incarnation : departures.processes.names()) {
            auto *it = out.add_leaving();
            it->set_router(router);
            it->set_incarnation(incarnation);
            it->set_revision(departures.revision);
        }
    }
    return out.SerializeAsString();
}

Result<void> FleetState::restore(std::string_view data)
{
    wire::FleetSnapshot in;
    if (!in.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
        return fail(ErrorCode::Corrupt, "the fleet snapshot cannot be parsed");
    }
    std::map<std::string, KeyTable> tables;
    for (const auto &it : in.tables()) {
        std::vector<KeyRow> rows;
        for (const auto &row : it.rows()) {
            rows.push_back(fromWire(row));
        }
        if (!KeyRows::isComplete(rows)) {
            return fail(ErrorCode::Corrupt, "a key table in the fleet snapshot does not cover each key exactly once");
        }
        tables[it.service()] = { it.revision(), KeyRows(std::move(rows)) };
    }
    m_tables = std::move(tables);
    m_manifest = in.manifest();
    m_manifestBase = 0;
    m_orders.clear();
    m_ordersByAge.clear();
    for (const auto &it : in.orders()) {
        recordOrder(it.order(), it.version());
    }
    m_evacuated = { in.evacuated().begin(), in.evacuated().end() };
    m_evacuationRevision = in.evacuation_revision();
    m_leaving.clear();
    for (const auto &it : in.leaving()) {
        auto &departures = m_leaving[it.router()];
        departures.processes.add(it.incarnation());
        departures.revision = it.revision();
    }
    return {};
}

const wire::ManifestDocument &FleetState::manifest() const
{
    return m_manifest;
}

std::uint64_t FleetState::manifestBase() const
{
    return m_manifestBase;
}

bool FleetState::isAccepted(const std::string &order) const
{
    return m_orders.count(order) != 0;
}

const std::set<std::string> &FleetState::evacuated() const
{
    return m_evacuated;
}

std::uint64_t FleetState::evacuationRevision() const
{
    return m_evacuationRevision;
}

const std::map<std::string, KeyTable> &FleetState::tables() const
{
    return m_tables;
}

const LeavingProcesses &FleetState::leavingBeside(const std::string &router) const
{
    static const LeavingProcesses none;
    const auto it = m_leaving.find(router);
    return it == m_leaving.end() ? none : it->second.processes;
}

} // namespace Toucandeck
