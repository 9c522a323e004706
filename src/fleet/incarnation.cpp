#include "fleet/incarnation.h"

#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace Toucandeck
{

namespace
{

/// Start of the process and count of presumed ends.
using Age = std::pair<std::int64_t, int>;

std::optional<Age> ageOf(std::string_view name)
{
    const auto at = name.rfind('@');
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    Age age{ 0, 0 };
    const char *end = name.data() + name.size();
    auto [next, ec] = std::from_chars(name.data() + at + 1, end, age.first);
    if (ec == std::errc() && next != end && *next == '#') {
        const auto counted = std::from_chars(next + 1, end, age.second);
        next = counted.ptr;
        ec = counted.ec;
    }
    return ec == std::errc() && next == end ? std::optional(age) : std::nullopt;
}

} // namespace

std::string incarnationName(std::string_view instance, std::int64_t bornMs, int presumedEnds)
{
    return presumedEnds == 0 ? fmt::format("{}@{}", instance, bornMs) : fmt::format("{}@{}#{}", instance, bornMs, presumedEnds);
}

bool isLaterIncarnation(std::string_view a, std::string_view b)
{
    const auto ageA = ageOf(a);
    const auto ageB = ageOf(b);
    return ageA && ageB && *ageA > *ageB;
}

} // namespace Toucandeck
