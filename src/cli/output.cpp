#include "cli/output.h"

#include "cli/text_table.h"
#include "state/table_columns.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Toucandeck
{

namespace
{

using nlohmann::json;

/// Formats a value for a table cell: text without quotes, "yes" and "no", lists separated by "; ", "unknown" for null.
std::string cellText(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_null()) {
        return "unknown";
    }
    if (!value.is_array()) {
        return value.dump();
    }
    std::string buf;
    for (const auto &it : value) {
        buf += (buf.empty() ? "" : "; ") + cellText(it);
    }
    return buf;
}

std::string field(const json &object, std::string_view name)
{
    const auto it = object.find(name);
    return it == object.end() ? std::string() : cellText(*it);
}

/// Formats a list of objects as a table with one column per field.
std::string tableOf(const json &list, const std::vector<std::string> &fields)
{
    TextTable table(fields);
    for (const auto &it : list) {
        std::vector<std::string> cells;
        cells.reserve(fields.size());
        for (const auto &name : fields) {
            cells.push_back(field(it, name));
        }
        table.add(std::move(cells));
    }
    return table.text();
}

std::string rowsText(const CommandLine &, const json &body)
{
    std::vector<std::string> fields{ "row" };
    for (const auto &it : tableColumns()) {
        fields.emplace_back(it.name);
    }
    fields.emplace_back("revision");
    return tableOf(body.at("rows"), fields);
}

json filterByService(const json &list, const std::string &service)
{
    json selected = json::array();
    for (const auto &it : list) {
        if (service.empty() || field(it, "service") == service) {
            selected.push_back(it);
        }
    }
    return selected;
}

std::string ownersText(const CommandLine &line, const json &body)
{
    auto buf = tableOf(filterByService(body.at("partitions"), line.service), { "service", "partition", "instance", "epoch", "moving" });
    const auto hotKeys = filterByService(body.at("hot_keys"), line.service);
    return hotKeys.empty() ? buf : buf + '\n' + tableOf(hotKeys, { "service", "key_hash", "instance", "epoch" });
}

std::string controllersText(const CommandLine &, const json &body)
{
    return fmt::format("term {}, committed {}, applied {}\n\n", field(body, "term"), field(body, "committed"), field(body, "applied"))
        + tableOf(body.at("members"),
                  { "replica", "role", "failure_domain", "address", "http_address", "leader", "synced", "needed_for_quorum" });
}

std::string statusText(const CommandLine &line, const json &body)
{
    return fmt::format("version {}\n", field(body, "version")) + controllersText(line, body.at("controllers")) + '\n'
        + tableOf(body.at("sessions"),
                  { "service",
                    "failure_domain",
                    "instance",
                    "state",
                    "weight",
                    "lease_ms",
                    "version",
                    "in_flight",
                    "load_permille",
                    "ready",
                    "cold",
                    "partitions" });
}

std::string leavePlanText(const CommandLine &, const json &body)
{
    return fmt::format("fits: {}\n\n", field(body, "fits"))
        + tableOf(body.at("services"),
                  { "service",
                    "fits",
                    "instances_before",
                    "instances_after",
                    "load_permille",
                    "capacity_before_permille",
                    "capacity_after_permille",
                    "reason" });
}

std::string leaveStatusText(const CommandLine &, const json &body)
{
    return tableOf(body.at("failure_domains"),
                   { "failure_domain", "safe", "instances", "partitions", "hot_keys", "in_flight", "controllers", "reasons" })
        + '\n' + tableOf(body.at("instances"), { "row", "state", "safe", "partitions", "hot_keys", "in_flight", "reasons" });
}

std::string eventsText(const CommandLine &, const json &body)
{
    std::string buf;
    for (const auto &it : body.at("events")) {
        buf += cellText(it) + '\n';
    }
    return buf;
}

std::string editText(const CommandLine &, const json &body)
{
    return fmt::format("accepted, revision {}\n", body.at("revision").get<std::uint64_t>());
}

std::string appliedText(const CommandLine &, const json &body)
{
    return fmt::format("version {}\n", body.at("version").get<std::uint64_t>());
}

std::string membershipText(const CommandLine &, const json &)
{
    return "accepted\n";
}

using Formatter = std::string (*)(const CommandLine &, const json &);

Formatter formatterOf(CliAction action)
{
    switch (action) {
    case CliAction::TableShow:
        return rowsText;
    case CliAction::TableWait:
        return appliedText;
    case CliAction::Status:
        return statusText;
    case CliAction::Owners:
        return ownersText;
    case CliAction::ControllersShow:
        return controllersText;
    case CliAction::LeavePlan:
        return leavePlanText;
    case CliAction::LeaveStatus:
        return leaveStatusText;
    case CliAction::Events:
        return eventsText;
    case CliAction::ControllersAdd:
    case CliAction::ControllersRemove:
        return membershipText;
    case CliAction::TableExport:
    case CliAction::TableImport:
    case CliAction::TableSet:
    case CliAction::ControllersBootstrap:
        break;
    }
    return editText;
}

/// Applies the --service filter to JSON output too.
json filterOwners(const CommandLine &line, json body)
{
    if (line.action == CliAction::Owners) {
        body["partitions"] = filterByService(body.at("partitions"), line.service);
        body["hot_keys"] = filterByService(body.at("hot_keys"), line.service);
    }
    return body;
}

} // namespace

Result<std::string> outputOf(const CommandLine &line, const std::string &body)
{
    if (line.action == CliAction::TableExport) {
        return body;
    }
    try {
        const auto parsed = json::parse(body);
        return line.json ? filterOwners(line, parsed).dump(2) + '\n' : formatterOf(line.action)(line, parsed);
    } catch (const json::exception &error) {
        return fail(ErrorCode::Unavailable, fmt::format("the controller's answer cannot be read: {}", error.what()));
    }
}

} // namespace Toucandeck
