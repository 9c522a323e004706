#include "common/verdict.h"

namespace Toucandeck
{

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::Ran:
        return "ran";
    case Verdict::MayHaveRun:
        break;
    }
    return "may-have-run";
}

std::optional<Verdict> verdictFromString(std::string_view text)
{
    for (const auto it : { Verdict::NotRun, Verdict::Ran, Verdict::MayHaveRun }) {
        if (toString(it) == text) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace Toucandeck
