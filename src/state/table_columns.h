#pragma once

#include "common/ids.h"
#include "common/result.h"
#include "state/row_key.h"

#include <span>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// One column of the operators' table, as text and in the message.
struct TableColumn
{
    std::string_view name;
    bool serviceOnly; ///< Allowed only in rows "service/*/*".
    bool (*isSet)(const wire::TableRow &row);
    void (*clear)(wire::TableRow &row);
    void (*copy)(const wire::TableRow &from, wire::TableRow &to);
    std::string (*text)(const wire::TableRow &row); ///< Only for a column that is set.
    /// Sets the column from text. Returns what is wrong with the text; empty: nothing.
    std::string (*parse)(wire::TableRow &row, std::string_view text);
    /// Returns what is wrong with the value of a column that is set; empty: nothing.
    std::string (*check)(const wire::TableRow &row);
};

/// All columns in display order: weight, slots, connections, state, leave_time, key, partitions, fenced.
std::span<const TableColumn> tableColumns();

/// The column with this name, or nullptr.
const TableColumn *findColumn(std::string_view name);

/// Sets a column from text. Fails with InvalidArgument for an unknown column or a value out of range.
Result<void> setColumn(wire::TableRow &row, std::string_view column, std::string_view text);

/// Text of the column; empty if it is not set.
std::string columnText(const wire::TableRow &row, std::string_view column);

/// Reads "service/failure domain/instance" and "COLUMN=VALUE" pairs into an edit; "COLUMN=" clears the column.
Result<wire::RowEdit> parseRowEdit(std::string_view rowKey, std::span<const std::string> assignments, Revision seen);

/// The row as it is after the edit, without checks. @p present is nullptr for a new row.
wire::TableRow mergedRow(const wire::TableRow *present, const wire::RowEdit &edit);

/// Checks an edit without looking at the present row: key, columns, ranges. Fails with InvalidArgument.
Result<void> checkRowEdit(const wire::RowEdit &edit);

/// Text of a row state: "serving", "leaving", "out", or "" if unset.
std::string_view toString(wire::RowState state);

} // namespace Toucandeck
