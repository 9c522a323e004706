// ClusterState: edits of the operators' table.
#include "state/cluster_state.h"

#include "common/assert.h"
#include "state/table_columns.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

/// In bytes. Request ids are retained with their answers, so the limit bounds the memory and the size of the snapshot.
constexpr int maxRequestIdLength = 128;

bool isColumnInEdit(const TableColumn &column, const wire::RowEdit &edit)
{
    return column.isSet(edit.row()) || std::find(edit.clear().begin(), edit.clear().end(), column.name) != edit.clear().end();
}

std::string valueText(const TableColumn &column, const wire::TableRow &row)
{
    return column.isSet(row) ? column.text(row) : "not set";
}

/// Lists the current and the requested value of each column of the edit.
std::string currentAndRequestedValues(const wire::TableRow &current, const wire::RowEdit &edit)
{
    std::string text;
    for (const auto &it : tableColumns()) {
        if (isColumnInEdit(it, edit)) {
            text += fmt::format("; {}: present {}, requested {}", it.name, valueText(it, current), valueText(it, edit.row()));
        }
    }
    return text;
}

/// Rejects a change of the number of partitions, which determines the partition and thus the owner of each key, and the return to
/// a service that is not partitioned by key.
Result<void> checkImmutableColumns(const wire::TableRow &current, const wire::TableRow &merged)
{
    if (current.has_partitions() && (!merged.has_partitions() || merged.partitions() != current.partitions())) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("row {}: column \"partitions\" is fixed at {} since the creation of the service",
                                toString(keyOf(current)),
                                current.partitions()));
    }
    if (serviceSettingsOf(current).isPartitionedByKey() && !serviceSettingsOf(merged).isPartitionedByKey()) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("row {}: column \"key\" cannot go back to none, because the partitions of the service have owners",
                                toString(keyOf(current))));
    }
    return {};
}

} // namespace

void ClusterState::editTable(const wire::Command &command)
{
    const auto &edit = command.edit_table();
    if (const auto *retained = editAnswer(edit.request_id())) {
        m_answer.edit = *retained;
        return;
    }
    m_answer.edit = applyEdit(edit);
    const auto length = edit.request_id().size();
    if (length > 0 && length <= maxRequestIdLength) {
        storeEditAnswer(edit.request_id(), *m_answer.edit);
    }
}

wire::EditAnswer ClusterState::applyEdit(const wire::EditTable &edit)
{
    return handleError(
        [&]() -> Result<wire::EditAnswer> {
            BOOST_LEAF_CHECK(checkEdits(edit));
            for (const auto &it : edit.edits()) {
                applyRowEdit(it);
            }
            wire::EditAnswer answer;
            answer.set_status(wire::ACCEPTED);
            answer.set_revision(m_currentIndex.value);
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
        if (const auto *current = m_view.row(keyOf(it.row()))) {
            BOOST_LEAF_CHECK(checkImmutableColumns(*current, mergedRow(current, it)));
        }
    }
    return {};
}

Result<void> ClusterState::checkRevision(const wire::RowEdit &edit) const
{
    const auto key = keyOf(edit.row());
    const auto *current = m_view.row(key);
    const std::uint64_t revision = current == nullptr ? 0 : current->revision();
    if (edit.seen_revision() == revision) {
        return {};
    }
    if (current == nullptr) {
        return fail(ErrorCode::Conflict,
                    fmt::format("row {}: the edit names revision {}, but the row does not exist{}",
                                toString(key),
                                edit.seen_revision(),
                                currentAndRequestedValues({}, edit)));
    }
    return fail(ErrorCode::Conflict,
                fmt::format("row {}: the edit names revision {}, but the present one is {}{}",
                            toString(key),
                            edit.seen_revision(),
                            revision,
                            currentAndRequestedValues(*current, edit)));
}

void ClusterState::applyRowEdit(const wire::RowEdit &edit)
{
    const auto key = keyOf(edit.row());
    const auto *current = m_view.row(key);
    auto row = mergedRow(current, edit);
    if (key.isService() && serviceSettingsOf(row).isPartitionedByKey() && !row.has_partitions()) {
        row.set_partitions(defaultPartitions);
    }
    // An unchanged row of an import keeps its revision, so that the import does not conflict with concurrent edits of that row.
    if (current != nullptr && row.SerializeAsString() == current->SerializeAsString()) {
        return;
    }
    TOUCANDECK_ASSERT(m_currentIndex.value > row.revision(), "the revision of a row only grows");
    row.set_revision(m_currentIndex.value);
    m_view.m_tables.putRow(row);
    m_changedRows.insert(key);
}

void ClusterState::storeEditAnswer(const std::string &requestId, const wire::EditAnswer &answer)
{
    if (!m_editAnswers.emplace(requestId, answer).second) {
        return;
    }
    m_editRequestIds.push_back(requestId);
    if (m_editRequestIds.size() > maxRetainedEditAnswers) {
        m_editAnswers.erase(m_editRequestIds.front());
        m_editRequestIds.pop_front();
    }
}

const wire::EditAnswer *ClusterState::editAnswer(const std::string &requestId) const
{
    const auto it = m_editAnswers.find(requestId);
    return it == m_editAnswers.end() ? nullptr : &it->second;
}

} // namespace Toucandeck
