#pragma once

#include "common/result.h"
#include "state/wire_namespace.h"

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// Key of a table row: the service, failure domain and instance that it applies to. An empty part stands for "*".
struct RowKey
{
    std::string service;
    std::string failureDomain;
    std::string instance;

    // clang-tidy 14 takes the literal 0 in the rewritten form of a comparison for a null pointer.
    auto operator<=>(const RowKey &) const = default; // NOLINT(modernize-use-nullptr)

    /// Whether this is the key of a service row, "service/*/*".
    bool isService() const
    {
        return !service.empty() && failureDomain.empty() && instance.empty();
    }
};

/// The key of a row.
RowKey keyOf(const wire::TableRow &row);

/// Text form, for example "clue-svc/jm-a/*".
std::string toString(const RowKey &key);

/// Parses the text form. Fails with InvalidArgument unless the key is one of service/*/*, */domain/*, service/domain/* and
/// service/domain/instance, with valid names.
Result<RowKey> parseRowKey(std::string_view text);

/// Checks the same rules on a parsed key.
Result<void> checkRowKey(const RowKey &key);

/// Whether the text is a name of a service, failure domain or instance: 1 to 100 letters, digits, '.', '_' or '-'.
bool isValidName(std::string_view text);

/// Sets the key of the row.
void setKey(wire::TableRow &row, const RowKey &key);

} // namespace Toucandeck
