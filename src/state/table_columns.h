#pragma once

#include "common/ids.h"
#include "common/result.h"
#include "state/row_key.h"

#include <span>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// A column of the operators' table: its text form and its field in the message.
struct TableColumn
{
    std::string_view name;
    bool serviceOnly; ///< Allowed only in rows "service/*/*".
    bool (*isSet)(const wire::TableRow &row);
    void (*clear)(wire::TableRow &row);
    void (*copy)(const wire::TableRow &from, wire::TableRow &to);
    std::string (*text)(const wire::TableRow &row); ///< Text of the value; only for a column that is set.
    /// Sets the column from text. Returns an error message, empty if the text is valid.
    std::string (*parse)(wire::TableRow &row, std::string_view text);
    /// Checks the value of a column that is set. Returns an error message, empty if the value is valid.
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

/// Parses "service/failure domain/instance" and "COLUMN=VALUE" pairs into an edit; "COLUMN=" clears the column. The edit conflicts
/// unless the row has the expected revision (0 for a new row). Fails with InvalidArgument for malformed text or an invalid edit.
Result<wire::RowEdit> parseRowEdit(std::string_view rowKey, std::span<const std::string> assignments, Revision expectedRevision);

/// The row after the edit, without checks. @p current is nullptr for a new row.
wire::TableRow mergedRow(const wire::TableRow *current, const wire::RowEdit &edit);

/// Checks the key, columns and ranges of an edit, independently of the current row. Fails with InvalidArgument.
Result<void> checkRowEdit(const wire::RowEdit &edit);

/// Text of a row state: "serving", "leaving", "out", or "" if unset.
std::string_view toString(wire::RowState state);

} // namespace Toucandeck
