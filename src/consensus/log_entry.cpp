#include "consensus/log_entry.h"

#include <algorithm>

namespace Toucandeck
{

void discardEntriesCoveredBy(StoredState &state, const Snapshot &snapshot)
{
    const auto matches = [&snapshot](const LogEntry &it) { return it.index == snapshot.lastIndex && it.term == snapshot.lastTerm; };
    if (std::none_of(state.entries.begin(), state.entries.end(), matches)) {
        state.entries.clear();
        return;
    }
    std::erase_if(state.entries, [&snapshot](const LogEntry &it) { return it.index <= snapshot.lastIndex; });
}

} // namespace Toucandeck
