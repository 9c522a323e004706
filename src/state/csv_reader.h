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
    std::size_t line = 0; ///< Line on which it starts; the first line is 1.
    std::vector<std::string> fields;
};

/// Divides CSV text (RFC 4180) into records. Line ends may be LF or CRLF; empty lines are skipped. Fails with InvalidArgument, naming
/// line and column number, if quoting is broken.
Result<std::vector<CsvRecord>> readCsv(std::string_view text);

} // namespace Toucandeck::internal
