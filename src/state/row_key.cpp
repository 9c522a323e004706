#include "state/row_key.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace Toucandeck
{

namespace
{

constexpr std::size_t maxNameLength = 100;

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    for (auto end = text.find(separator); end != std::string_view::npos; end = text.find(separator, start)) {
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    parts.push_back(text.substr(start));
    return parts;
}

Result<std::string> partFromText(std::string_view text, std::string_view key)
{
    if (text == "*") {
        return std::string();
    }
    if (!isValidName(text)) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("row key \"{}\": \"{}\" is not a name (letters, digits, '.', '_', '-') or \"*\"", key, text));
    }
    return std::string(text);
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

} // namespace

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

RowKey keyOf(const wire::TableRow &row)
{
    return { row.service(), row.failure_domain(), row.instance() };
}

void setKey(wire::TableRow &row, const RowKey &key)
{
    row.set_service(key.service);
    row.set_failure_domain(key.failureDomain);
    row.set_instance(key.instance);
}

std::string toString(const RowKey &key)
{
    const auto text = [](const std::string &part) { return part.empty() ? std::string_view("*") : std::string_view(part); };
    return fmt::format("{}/{}/{}", text(key.service), text(key.failureDomain), text(key.instance));
}

Result<void> checkRowKey(const RowKey &key)
{
    for (const auto *it : { &key.service, &key.failureDomain, &key.instance }) {
        if (!it->empty() && !isValidName(*it)) {
            return fail(ErrorCode::InvalidArgument,
                        fmt::format("row key {}: \"{}\" is not a name (letters, digits, '.', '_', '-')", toString(key), *it));
        }
    }
    const bool hasService = !key.service.empty();
    const bool hasDomain = !key.failureDomain.empty();
    const bool hasInstance = !key.instance.empty();
    if ((!hasService && !hasDomain) || (hasInstance && !(hasService && hasDomain))) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("row key {}: must be SERVICE/*/*, */DOMAIN/*, SERVICE/DOMAIN/* or SERVICE/DOMAIN/INSTANCE", toString(key)));
    }
    return {};
}

Result<RowKey> parseRowKey(std::string_view text)
{
    const auto parts = split(text, '/');
    if (parts.size() != 3) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("row key \"{}\": must be SERVICE/DOMAIN/INSTANCE, with \"*\" for a default", text));
    }
    RowKey key;
    BOOST_LEAF_ASSIGN(key.service, partFromText(parts[0], text));
    BOOST_LEAF_ASSIGN(key.failureDomain, partFromText(parts[1], text));
    BOOST_LEAF_ASSIGN(key.instance, partFromText(parts[2], text));
    BOOST_LEAF_CHECK(checkRowKey(key));
    return key;
}

} // namespace Toucandeck
