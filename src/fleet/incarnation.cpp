#include "fleet/incarnation.h"

#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace Toucandeck
{

namespace
{

/// Start time of the process and number of presumed terminations; the order of pairs is the order of incarnations.
using StartOrder = std::pair<std::int64_t, int>;

std::optional<StartOrder> startOrderOf(std::string_view name)
{
    const auto at = name.rfind('@');
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    StartOrder order{ 0, 0 };
    const char *end = name.data() + name.size();
    auto [next, ec] = std::from_chars(name.data() + at + 1, end, order.first);
    if (ec == std::errc() && next != end && *next == '#') {
        const auto counted = std::from_chars(next + 1, end, order.second);
        next = counted.ptr;
        ec = counted.ec;
    }
    return ec == std::errc() && next == end ? std::optional(order) : std::nullopt;
}

/// The name without the number of presumed terminations.
std::string_view processOf(std::string_view name)
{
    const auto at = name.rfind('@');
    return at == std::string_view::npos ? name : name.substr(0, name.find('#', at));
}

} // namespace

std::string incarnationName(std::string_view instance, std::int64_t startMs, int presumedTerminations)
{
    return presumedTerminations == 0 ? fmt::format("{}@{}", instance, startMs)
                                     : fmt::format("{}@{}#{}", instance, startMs, presumedTerminations);
}

bool isLaterIncarnation(std::string_view a, std::string_view b)
{
    const auto orderA = startOrderOf(a);
    const auto orderB = startOrderOf(b);
    return orderA && orderB && *orderA > *orderB;
}

bool haveSameId(std::string_view a, std::string_view b)
{
    return a.substr(0, a.rfind('@')) == b.substr(0, b.rfind('@'));
}

bool isSameProcess(std::string_view a, std::string_view b)
{
    return processOf(a) == processOf(b);
}

} // namespace Toucandeck
