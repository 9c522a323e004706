#pragma once

#include "common/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck::internal
{

/// One record of a CSV file.
struct CsvRecord
{
    std::size_t line = 0; ///< Line on which the record starts, counted from 1.
    std::vector<std::string> fields;
};

/// Splits CSV text (RFC 4180) into records. Line ends may be LF or CRLF; empty lines are skipped. Fails with InvalidArgument and the
/// line and column number if the quoting is malformed.
Result<std::vector<CsvRecord>> readCsv(std::string_view text);

} // namespace Toucandeck::internal
