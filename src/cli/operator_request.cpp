#include "cli/operator_request.h"

#include "state/table_columns.h"
#include "state/table_csv.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Toucandeck
{

namespace
{

using nlohmann::json;

constexpr auto jsonType = "application/json";

OperatorRequest get(std::string path)
{
    return { "GET", std::move(path), {}, {}, true };
}

OperatorRequest post(std::string path, const json &body, bool isResendable)
{
    return { "POST", std::move(path), jsonType, body.dump(), isResendable };
}

/// Percent-encodes everything but unreserved characters (RFC 3986).
std::string percentEncode(std::string_view text)
{
    std::string buf;
    for (const char c : text) {
        const bool plain
            = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
        buf += plain ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return buf;
}

/// One row edit in the form of POST /v1/table/edit. Validates the values locally, so that malformed input is
/// reported without contacting a controller.
Result<json> editBody(const CommandLine &line, const std::vector<std::string> &assignments, const std::string &requestId)
{
    BOOST_LEAF_CHECK(parseRowEdit(line.row, assignments, Revision{ line.revision }));
    json columns = json::object();
    for (const auto &it : assignments) {
        const auto at = it.find('=');
        columns[it.substr(0, at)] = it.substr(at + 1);
    }
    return json{ { "request_id", requestId },
                 { "force", line.force },
                 { "edits", { { { "row", line.row }, { "set", columns }, { "seen_revision", line.revision } } } } };
}

Result<OperatorRequest> setRequest(const CommandLine &line, const std::string &requestId)
{
    BOOST_LEAF_AUTO(body, editBody(line, line.assignments, requestId));
    return post("/v1/table/edit", body, true);
}

Result<OperatorRequest> planRequest(const CommandLine &line, const std::string &requestId)
{
    const std::vector<std::string> leaving{ "state=leaving" };
    BOOST_LEAF_AUTO(body, editBody(line, line.assignments.empty() ? leaving : line.assignments, requestId));
    return post("/v1/leave/plan", body, true);
}

Result<OperatorRequest> importRequest(const CommandLine &line, const std::string &requestId, const std::string &content)
{
    BOOST_LEAF_CHECK(TableCsv::read(content, requestId));
    const auto path = fmt::format("/v1/table/import?request_id={}{}", percentEncode(requestId), line.force ? "&force=true" : "");
    return OperatorRequest{ "POST", path, "text/csv", content, true };
}

OperatorRequest addRequest(const CommandLine &line)
{
    const json member{ { "replica", line.replica },
                       { "failure_domain", line.failureDomain },
                       { "address", line.address },
                       { "http_address", line.httpAddress } };
    return post("/v1/controllers/add", { { "members", json::array({ member }) } }, false);
}

} // namespace

Result<OperatorRequest> requestOf(const CommandLine &line, const std::string &requestId, const std::string &fileContent)
{
    switch (line.action) {
    case CliAction::TableShow:
    case CliAction::TableWait:
        return get("/v1/table");
    case CliAction::TableExport:
        return get("/v1/table.csv");
    case CliAction::TableImport:
        return importRequest(line, requestId, fileContent);
    case CliAction::TableSet:
        return setRequest(line, requestId);
    case CliAction::Status:
        return get("/v1/status");
    case CliAction::Owners:
        return get("/v1/owners");
    case CliAction::ControllersShow:
        return get("/v1/controllers");
    case CliAction::ControllersAdd:
        return addRequest(line);
    case CliAction::ControllersRemove:
        return OperatorRequest{ "POST", "/v1/controllers/remove?replica=" + percentEncode(line.replica), {}, {}, false };
    case CliAction::LeavePlan:
        return planRequest(line, requestId);
    case CliAction::LeaveStatus:
        return get("/v1/leave/status");
    case CliAction::Events:
    case CliAction::ControllersBootstrap: // sent by bootstrapControllers()
        break;
    }
    return get("/v1/events");
}

OperatorRequest appliedRequest(std::uint64_t version)
{
    return get(fmt::format("/v1/applied?version={}", version));
}

} // namespace Toucandeck
