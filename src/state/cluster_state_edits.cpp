// Edits of the operators' table.
#include "state/cluster_state.h"

#include "common/assert.h"
#include "state/table_columns.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

/// Request ids are kept with their answers; a limit bounds the memory and the snapshot.
constexpr int maxRequestIdLength = 128;

bool isNamed(const TableColumn &column, const wire::RowEdit &edit)
{
    return column.isSet(edit.row()) || std::find(edit.clear().begin(), edit.clear().end(), column.name) != edit.clear().end();
}

std::string valueText(const TableColumn &column, const wire::TableRow &row)
{
    return column.isSet(row) ? column.text(row) : "not set";
}

/// Names the present and the requested value of each column of the edit.
std::string bothValues(const wire::TableRow &present, const wire::RowEdit &edit)
{
    std::string text;
    for (const auto &it : tableColumns()) {
        if (isNamed(it, edit)) {
            text += fmt::format("; {}: present {}, requested {}", it.name, valueText(it, present), valueText(it, edit.row()));
        }
    }
    return text;
}

/// The number of partitions decides which partition a key is in, and thus who owns it. It never changes.
Result<void> checkFixed(const wire::TableRow &present, const wire::TableRow &merged)
{
    if (present.has_partitions() && (!merged.has_partitions() || merged.partitions() != present.partitions())) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("row {}: column \"partitions\" is fixed at {} since the creation of the service",
                                toString(keyOf(present)),
                                present.partitions()));
    }
    if (settingsOf(present).isDividedByKey() && !settingsOf(merged).isDividedByKey()) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("row {}: column \"key\" cannot go back to none, because the partitions of the service have owners",
                                toString(keyOf(present))));
    }
    return {};
}

} // namespace

void ClusterState::editTable(const wire::Command &command)
{
    const auto &edit = command.edit_table();
    if (const auto *first = editAnswer(edit.request_id())) {
        m_answer.edit = *first;
        return;
    }
    m_answer.edit = answerEdit(edit);
    const auto length = edit.request_id().size();
    if (length > 0 && length <= maxRequestIdLength) {
        rememberEdit(edit.request_id(), *m_answer.edit);
    }
}

wire::EditAnswer ClusterState::answerEdit(const wire::EditTable &edit)
{
    return handleError(
        [&]() -> Result<wire::EditAnswer> {
            BOOST_LEAF_CHECK(checkEdits(edit));
            for (const auto &it : edit.edits()) {
                changeRow(it);
            }
            wire::EditAnswer answer;
            answer.set_status(wire::ACCEPTED);
            answer.set_revision(m_applying.value);
            return answer;
        },
        [](const Error &error) {
            wire::EditAnswer answer;
            answer.set_status(error.code == ErrorCode::Conflict ? wire::CONFLICT : wire::INVALID);
            answer.set_message(error.message);
            return answer;
        });
}

Result<void> ClusterState::checkEdits(const wire::EditTable &edit) const
{
    if (edit.request_id().empty() || edit.request_id().size() > maxRequestIdLength) {
        return fail(ErrorCode::InvalidArgument, fmt::format("the request id of an edit must have 1 to {} bytes", maxRequestIdLength));
    }
    if (edit.edits().empty()) {
        return fail(ErrorCode::InvalidArgument, "the edit names no row");
    }
    std::set<RowKey> keys;
    for (const auto &it : edit.edits()) {
        BOOST_LEAF_CHECK(checkRowEdit(it));
        if (!keys.insert(keyOf(it.row())).second) {
            return fail(ErrorCode::InvalidArgument, fmt::format("row {} is named twice in one edit", toString(keyOf(it.row()))));
        }
    }
    for (const auto &it : edit.edits()) {
        BOOST_LEAF_CHECK(checkRevision(it));
    }
    for (const auto &it : edit.edits()) {
        if (const auto *present = m_view.row(keyOf(it.row()))) {
            BOOST_LEAF_CHECK(checkFixed(*present, mergedRow(present, it)));
        }
    }
    return {};
}

Result<void> ClusterState::checkRevision(const wire::RowEdit &edit) const
{
    const auto key = keyOf(edit.row());
    const auto *present = m_view.row(key);
    const std::uint64_t revision = present == nullptr ? 0 : present->revision();
    if (edit.seen_revision() == revision) {
        return {};
    }
    if (present == nullptr) {
        return fail(ErrorCode::Conflict,
                    fmt::format("row {}: the edit names revision {}, but the row does not exist{}",
                                toString(key),
                                edit.seen_revision(),
                                bothValues({}, edit)));
    }
    return fail(ErrorCode::Conflict,
                fmt::format("row {}: the edit names revision {}, but the present one is {}{}",
                            toString(key),
                            edit.seen_revision(),
                            revision,
                            bothValues(*present, edit)));
}

void ClusterState::changeRow(const wire::RowEdit &edit)
{
    const auto key = keyOf(edit.row());
    const auto *present = m_view.row(key);
    auto row = mergedRow(present, edit);
    if (key.isService() && settingsOf(row).isDividedByKey() && !row.has_partitions()) {
        row.set_partitions(defaultPartitions);
    }
    // A row that an import names without a change keeps its revision, so that the import does not collide with edits of it.
    if (present != nullptr && row.SerializeAsString() == present->SerializeAsString()) {
        return;
    }
    TOUCANDECK_ASSERT(m_applying.value > row.revision(), "the revision of a row only grows");
    row.set_revision(m_applying.value);
    m_view.m_tables.putRow(row);
    m_changedRows.insert(key);
}

void ClusterState::rememberEdit(const std::string &requestId, const wire::EditAnswer &answer)
{
    if (!m_edits.emplace(requestId, answer).second) {
        return;
    }
    m_editOrder.push_back(requestId);
    if (m_editOrder.size() > keptEdits) {
        m_edits.erase(m_editOrder.front());
        m_editOrder.pop_front();
    }
}

const wire::EditAnswer *ClusterState::editAnswer(const std::string &requestId) const
{
    const auto it = m_edits.find(requestId);
    return it == m_edits.end() ? nullptr : &it->second;
}

} // namespace Toucandeck
