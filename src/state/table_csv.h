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

    /// Reads a file into one edit that names the revisions of the file. Empty fields clear their column. Columns may come in any
    /// order; a column of the table that is missing stays as it is. Fails with InvalidArgument, naming line and column, if any
    /// value is bad; nothing of the file is then used.
    static Result<wire::EditTable> read(std::string_view text, std::string_view requestId);
};

} // namespace Toucandeck
