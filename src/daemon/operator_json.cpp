#include "daemon/operator_json.h"

#include "config/json_fields.h"
#include "state/table_columns.h"

#include <charconv>
#include <fmt/format.h>

namespace Toucandeck::internal
{

namespace
{

using nlohmann::json;

std::int64_t toMs(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json toJson(const LeavePlan::Service &it)
{
    return { { "service", it.name },
             { "instances_before", it.instancesBefore },
             { "instances_after", it.instancesAfter },
             { "load_permille", it.load },
             { "capacity_before_permille", it.capacityBefore },
             { "capacity_after_permille", it.capacityAfter },
             { "fits", it.fits },
             { "reason", it.reason } };
}

json countOrNull(const std::optional<std::uint32_t> &count)
{
    return count ? json(*count) : json(nullptr);
}

json toJson(const LeaveStatus::Instance &it)
{
    return { { "row", toString(it.key) },
             { "state", toString(it.state) },
             { "session", idText(it.session.value) },
             { "partitions", it.partitions },
             { "hot_keys", it.hotKeys },
             { "in_flight", countOrNull(it.inFlight) },
             { "safe", it.safe },
             { "reasons", it.reasons } };
}

json toJson(const LeaveStatus::FailureDomain &it)
{
    return { { "failure_domain", it.name },
             { "instances", it.instances },
             { "partitions", it.partitions },
             { "hot_keys", it.hotKeys },
             { "in_flight", countOrNull(it.inFlight) },
             { "controllers", it.controllers },
             { "safe", it.safe },
             { "reasons", it.reasons } };
}

Result<wire::RowEdit> rowEditFromJson(const json &edit, std::size_t position)
{
    const auto where = fmt::format("edits[{}]", position);
    if (!edit.is_object() || !edit.contains("row") || !edit["row"].is_string()) {
        return fail(ErrorCode::InvalidArgument, where + ".row must be a string such as \"clue-svc/*/*\"");
    }
    std::vector<std::string> assignments;
    const auto columns = edit.value("set", json::object());
    if (!columns.is_object()) {
        return fail(ErrorCode::InvalidArgument, where + ".set must be an object that maps columns to strings");
    }
    for (const auto &[column, value] : columns.items()) {
        if (!value.is_string()) {
            return fail(ErrorCode::InvalidArgument, fmt::format("{}.set.{} must be a string", where, column));
        }
        assignments.push_back(column + '=' + value.get<std::string>());
    }
    const auto seenRevision = edit.value("seen_revision", json(0));
    if (!seenRevision.is_number_unsigned()) {
        return fail(ErrorCode::InvalidArgument, where + ".seen_revision must be an integer of 0 or more");
    }
    return parseRowEdit(edit["row"].get<std::string>(), assignments, Revision{ seenRevision.get<std::uint64_t>() });
}

} // namespace

json toJson(const wire::TableRow &row)
{
    json it = { { "row", toString(keyOf(row)) }, { "revision", row.revision() } };
    for (const auto &column : tableColumns()) {
        if (column.isSet(row)) {
            it[std::string(column.name)] = column.text(row);
        }
    }
    return it;
}

json tableToJson(const View &view)
{
    json rows = json::array();
    for (const auto &[key, row] : view.rows()) {
        rows.push_back(toJson(row));
    }
    return { { "version", view.version().value }, { "rows", std::move(rows) } };
}

json ownersToJson(const View &view)
{
    json partitions = json::array();
    json hotKeys = json::array();
    for (const auto &service : view.services()) {
        for (const auto &it : view.assignments(service)) {
            const auto *owner = view.session(SessionId{ it.owner() });
            partitions.push_back({ { "service", service },
                                   { "partition", it.partition() },
                                   { "instance", owner ? owner->instance() : "" },
                                   { "epoch", it.epoch() },
                                   { "moving", it.moving_to() != 0 } });
        }
        for (const auto &[hash, it] : view.hotKeys(service)) {
            const auto *owner = view.session(SessionId{ it.owner() });
            hotKeys.push_back({ { "service", service },
                                { "key_hash", idText(hash.value) },
                                { "instance", owner ? owner->instance() : "" },
                                { "epoch", it.epoch() } });
        }
    }
    return { { "version", view.version().value }, { "partitions", std::move(partitions) }, { "hot_keys", std::move(hotKeys) } };
}

json sessionsToJson(const View &view, const std::vector<SessionStatus> &sessions, TimePoint now)
{
    json all = json::array();
    for (const auto &it : sessions) {
        const auto &row = view.effectiveRow(it.service, it.failureDomain, it.instance);
        all.push_back({ { "session", idText(it.session.value) },
                        { "service", it.service },
                        { "failure_domain", it.failureDomain },
                        { "instance", it.instance },
                        { "state", toString(row.state) },
                        { "weight", row.weight },
                        { "lease_ms", toMs(it.leaseEnd - now) },
                        { "version", it.version.value },
                        { "in_flight", it.inFlight },
                        { "load_permille", it.loadPermille },
                        { "ready", it.backendReady },
                        { "cold", it.cold },
                        { "partitions", view.partitionsOf(it.session).size() } });
    }
    return all;
}

json controllersToJson(const Replica &replica)
{
    json members = json::array();
    const auto leader = replica.leader();
    for (const auto &it : replica.membership().members) {
        members.push_back({ { "replica", idText(it.replica.value) },
                            { "role", it.role == ReplicaRole::Voter ? "voter" : "learner" },
                            { "failure_domain", it.failureDomain },
                            { "address", it.address },
                            { "http_address", it.httpAddress },
                            { "leader", leader == it.replica },
                            { "synced", replica.syncedIndexOf(it.replica).value },
                            { "needed_for_quorum", replica.isLeader() && replica.isNeededForQuorum(it.replica) } });
    }
    return { { "term", replica.term().value },
             { "committed", replica.commitIndex().value },
             { "applied", replica.appliedIndex().value },
             { "members", std::move(members) } };
}

json toJson(const LeavePlan &plan)
{
    json services = json::array();
    for (const auto &it : plan.services()) {
        services.push_back(toJson(it));
    }
    return { { "fits", plan.fits() }, { "services", std::move(services) } };
}

json toJson(const LeaveStatus &status)
{
    json instances = json::array();
    for (const auto &it : status.instances()) {
        instances.push_back(toJson(it));
    }
    json failureDomains = json::array();
    for (const auto &it : status.failureDomains()) {
        failureDomains.push_back(toJson(it));
    }
    return { { "instances", std::move(instances) }, { "failure_domains", std::move(failureDomains) } };
}

Result<wire::EditTable> editFromJson(const std::string &body, bool &force)
{
    BOOST_LEAF_AUTO(edit, parseJson(body));
    if (!edit.is_object()) {
        return fail(ErrorCode::InvalidArgument, "the body must be a JSON object");
    }
    if (!edit.contains("request_id") || !edit["request_id"].is_string() || edit["request_id"].get<std::string>().empty()) {
        return fail(ErrorCode::InvalidArgument, "request_id must be a non-empty string");
    }
    if (!edit.contains("edits") || !edit["edits"].is_array() || edit["edits"].empty()) {
        return fail(ErrorCode::InvalidArgument, "edits must be a non-empty array");
    }
    force = edit.contains("force") && edit["force"] == true;
    wire::EditTable table;
    table.set_request_id(edit["request_id"].get<std::string>());
    std::size_t n = 0;
    for (const auto &it : edit["edits"]) {
        BOOST_LEAF_AUTO(row, rowEditFromJson(it, n));
        *table.add_edits() = row;
        ++n;
    }
    return table;
}

Result<Membership> membershipFromJson(const std::string &body)
{
    BOOST_LEAF_AUTO(parsed, parseJson(body));
    if (!parsed.is_object() || !parsed.contains("members") || !parsed["members"].is_array()) {
        return fail(ErrorCode::InvalidArgument, "the body must be a JSON object with an array 'members'");
    }
    Membership membership;
    for (const auto &it : parsed["members"]) {
        for (const char *name : { "replica", "failure_domain", "address", "http_address" }) {
            if (!it.is_object() || !it.contains(name) || !it[name].is_string()) {
                return fail(ErrorCode::InvalidArgument, fmt::format("members[{}].{} must be a string", membership.members.size(), name));
            }
        }
        BOOST_LEAF_AUTO(replica, idFromText(it["replica"].get<std::string>()));
        Member member;
        member.replica = ReplicaId{ replica };
        member.role = ReplicaRole::Voter;
        member.failureDomain = it["failure_domain"].get<std::string>();
        member.address = it["address"].get<std::string>();
        member.httpAddress = it["http_address"].get<std::string>();
        membership.members.push_back(std::move(member));
    }
    return membership;
}

std::string idText(std::uint64_t id)
{
    return fmt::format("{:016x}", id);
}

Result<std::uint64_t> idFromText(const std::string &text)
{
    std::uint64_t id = 0;
    constexpr int kHexadecimal = 16;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id, kHexadecimal);
    if (ec != std::errc() || end != text.data() + text.size() || id == 0) {
        return fail(ErrorCode::InvalidArgument, fmt::format("'{}' is not a hexadecimal id", text));
    }
    return id;
}

} // namespace Toucandeck::internal
