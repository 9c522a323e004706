#pragma once

#include "common/result.h"
#include "state/view.h"

#include <string>
#include <string_view>

namespace Toucandeck
{

/// The operators' table as CSV (RFC 4180): a header line, then one row per line. The columns are service, failure_domain, instance
/// ("*" for a default), those of tableColumns() and revision. An empty field means that the column is not set.
class TableCsv
{
public:
    /// All rows of the view, sorted by key.
    static std::string write(const View &view);

    /// Parses a file into one edit with the revisions of the file. An empty field clears its column. The columns may be in any order,
    /// and a table column that is missing from the file stays unchanged. Fails with InvalidArgument and the line and column if any
    /// value is invalid; no part of the file is used then.
    static Result<wire::EditTable> read(std::string_view text, std::string_view requestId);
};

} // namespace Toucandeck
