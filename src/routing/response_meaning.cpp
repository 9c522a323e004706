#include "routing/response_meaning.h"

#include <algorithm>
#include <array>

namespace Toucandeck
{

bool promisesNotRun(int status)
{
    constexpr std::array<int, 4> kPromises{ 408, 421, 429, 503 };
    return std::find(kPromises.begin(), kPromises.end(), status) != kPromises.end();
}

ResponseMeaning meaningOf(int status, bool statesNotRun, bool repeatable)
{
    if (statesNotRun) {
        return ResponseMeaning::NotRun;
    }
    return promisesNotRun(status) && !repeatable ? ResponseMeaning::MayHaveRun : ResponseMeaning::Answer;
}

} // namespace Toucandeck
