#pragma once

#include <optional>
#include <string_view>

namespace Toucandeck
{

/// Says whether a request may have run at a backend server.
enum class Verdict {
    NotRun, ///< No backend server has started it, and none will.
    Ran, ///< A backend server has answered it.
    MayHaveRun, ///< A backend server may have started it; the outcome is unknown.
};

/// Text used in the header Toucandeck-Verdict: "not-run", "ran" or "may-have-run".
std::string_view toString(Verdict verdict);

/// Reads the header text; nothing if it is none of the three.
std::optional<Verdict> verdictFromString(std::string_view text);

} // namespace Toucandeck
