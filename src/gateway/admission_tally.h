#pragma once

#include "gateway/call.h"

#include <array>

namespace Toucandeck
{

/// Counts the calls that one backend server was sent and those that were refused, by their origin.
class AdmissionTally
{
public:
    struct Counts
    {
        std::uint64_t started = 0;
        std::uint64_t startedLate = 0; ///< Started when they were expected to miss their latency target.
        std::uint64_t refused = 0;
        std::uint64_t refusedBusy = 0; ///< Of these, because another backend server is expected to run the call sooner.
        std::uint64_t ended = 0; ///< Answered, failed or cancelled while running.
        Duration slotTime{}; ///< Total time for which the ended calls occupied their slots.
    };

    /// @param late if the call is expected to miss its latency target.
    void recordStart(const Call &call, bool late);
    void recordEnd(const Call &call, Duration slotTime);
    void recordRefusal(const Call &call, wire::CallReason reason);

    const Counts &of(CallOrigin origin) const;

private:
    Counts &countsFor(const Call &call);

    std::array<Counts, kCallOriginCount> m_counts;
};

} // namespace Toucandeck
