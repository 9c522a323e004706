#include "edit_race.h"

#include <fmt/format.h>

namespace Toucandeck::Prove
{

namespace
{

using nlohmann::json;

constexpr const char *kRow = "clue-svc/*/*";
constexpr Duration kTimeout = std::chrono::seconds(3);
constexpr int kTries = 4;

std::string editBody(const std::string &requestId, const std::string &weight, std::uint64_t seenRevision)
{
    const json edit = { { "row", kRow }, { "set", { { "weight", weight } } }, { "seen_revision", seenRevision } };
    return json{ { "request_id", requestId }, { "force", true }, { "edits", json::array({ edit }) } }.dump();
}

} // namespace

EditRace::EditRace(Standin::LocalCluster &cluster)
    : m_cluster(cluster)
{
}

void EditRace::run(std::uint64_t number)
{
    checkTable();
    if (m_isOutcomeUnknown) {
        return;
    }
    ++m_races;
    const auto seenRevision = m_revision;
    const std::string weights[] = { std::to_string(10 + number % 400), std::to_string(500 + number % 400) };
    int accepted = 0;
    int unknown = 0;
    for (int n = 0; n < 2; ++n) {
        const auto id = fmt::format("race-{}-{}", number, n);
        const auto answer = submit(id, weights[n], seenRevision);
        const auto again = submit(id, weights[n], seenRevision);
        if (answer.status != 0 && again.status != 0 && (answer.status != again.status || answer.revision != again.revision)) {
            violation(
                fmt::format("edit {} was answered {}/{} and then {}/{}", id, answer.status, answer.revision, again.status, again.revision));
        }
        unknown += answer.status == 0 && again.status == 0 ? 1 : 0;
        const auto &known = answer.status != 0 ? answer : again;
        if (known.status == 200) {
            ++accepted;
            m_revision = known.revision;
            m_weight = weights[n];
        }
    }
    if (accepted > 1) {
        violation(fmt::format("both edits of race {} were accepted with revision {} seen", number, seenRevision));
    }
    m_isOutcomeUnknown = unknown > 0;
}

void EditRace::checkTable()
{
    const auto table
        = handleError([&] { return m_cluster.operate("GET", "/v1/table", {}, kTimeout); }, [](const Error &) { return json(); });
    if (!table.is_object()) {
        return;
    }
    for (const auto &it : table["rows"]) {
        if (it["row"] != kRow) {
            continue;
        }
        const auto revision = it["revision"].get<std::uint64_t>();
        const auto weight = it.value("weight", "");
        if (revision < m_revision || (revision == m_revision && weight != m_weight && !m_weight.empty())) {
            violation(fmt::format("accepted edit {} with weight {} reverted to {} with weight {}", m_revision, m_weight, revision, weight));
        }
        if (revision > m_revision && !m_weight.empty() && !m_isOutcomeUnknown) {
            violation(fmt::format("row changed to revision {} although no edit after {} was accepted", revision, m_revision));
        }
        m_revision = revision;
        m_weight = weight;
        m_isOutcomeUnknown = false;
        return;
    }
    if (!m_weight.empty()) {
        violation("the row of an accepted edit is gone");
    }
}

EditRace::Answer EditRace::submit(const std::string &requestId, const std::string &weight, std::uint64_t seenRevision)
{
    const auto body = editBody(requestId, weight, seenRevision);
    for (int n = 0; n < kTries; ++n) {
        const auto answer = submitToAllControllers(body);
        if (answer.status != 0) {
            return answer;
        }
    }
    return {};
}

EditRace::Answer EditRace::submitToAllControllers(const std::string &body)
{
    std::vector<std::pair<std::string, HttpRequest>> requests;
    for (const auto &it : m_cluster.controllerNames()) {
        requests.emplace_back(m_cluster.controllerAddress(it), m_cluster.operatorRequest("POST", "/v1/table/edit", body));
    }
    for (const auto &result : m_cluster.callTogether(requests, std::chrono::milliseconds(700))) {
        if (!result.response || (result.response->status != 200 && result.response->status != 409)) {
            continue;
        }
        const auto parsed = json::parse(result.response->body, nullptr, false);
        return { result.response->status, parsed.is_object() ? parsed.value("revision", std::uint64_t{ 0 }) : 0 };
    }
    return {};
}

void EditRace::violation(const std::string &text)
{
    ++m_violations;
    if (m_firstViolation.empty()) {
        m_firstViolation = text;
    }
}

std::uint64_t EditRace::races() const
{
    return m_races;
}

std::uint64_t EditRace::violations() const
{
    return m_violations;
}

const std::string &EditRace::firstViolation() const
{
    return m_firstViolation;
}

} // namespace Toucandeck::Prove
