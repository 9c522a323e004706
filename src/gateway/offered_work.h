#pragma once

#include "common/time.h"

#include <cstdint>
#include <map>

namespace Toucandeck
{

/// Rate of the work of the client calls that arrive in time, by rank, and of nested calls, as moving averages.
///
/// Load pattern: an overload that lasts. A late call is overtaken by calls that arrive after it, so its wait depends on the slots that
/// these leave free and not only on the calls that wait already.
class OfferedWork
{
public:
    void recordClient(std::uint32_t rank, Duration work, TimePoint now);
    void recordNested(Duration work, TimePoint now);

    /// Slots that the client calls of ranks below @p rank occupy.
    double clientSlotsBefore(std::uint32_t rank, TimePoint now) const;
    double nestedSlots(TimePoint now) const;

    /// Rank at which half of the work of clients is of this rank or a more urgent one; 0 if there is none.
    std::uint32_t middleRank(TimePoint now) const;

private:
    struct Average
    {
        double seconds = 0; ///< Work, weighted by age.
        TimePoint updatedAt;

        void add(Duration work, TimePoint now);
        double slots(TimePoint now) const;
    };

    std::map<std::uint32_t, Average> m_clients; ///< By rank.
    Average m_nested;
};

} // namespace Toucandeck
