#include "key_holder.h"

#include <algorithm>

namespace Toucandeck::Standin
{

namespace
{

/// Samples in the range: the first one and the one after the last.
std::pair<std::size_t, std::size_t> samplesIn(KeyRange range)
{
    constexpr auto kDistance = KeyHolderModel::kSampleDistance;
    return { (range.from + kDistance - 1) / kDistance, range.to / kDistance + 1 };
}

} // namespace

KeyHolderModel::KeyHolderModel(double drift)
    : m_drift(drift)
    , m_holds(kSampleCount)
{
}

GrantStatus KeyHolderModel::grant(KeyRange range, std::uint64_t fencingToken, Duration holdTime, TimePoint arrival)
{
    if (range.from > range.to || range.to >= kKeyCount || fencingToken == 0) {
        return GrantStatus::BadRequest;
    }
    const auto [first, end] = samplesIn(range);
    for (auto i = first; i < end; ++i) {
        if (m_holds[i].fencingToken > fencingToken) {
            return GrantStatus::HigherTokenSeen;
        }
    }
    const auto until = arrival + std::chrono::duration_cast<Duration>(holdTime * (1 + m_drift));
    for (auto i = first; i < end; ++i) {
        m_holds[i].fencingToken = fencingToken;
        m_holds[i].until = std::max(m_holds[i].until, until);
    }
    return GrantStatus::Ok;
}

TimePoint KeyHolderModel::release(KeyRange range, std::uint64_t fencingToken, TimePoint now, Duration workLeft)
{
    auto workEnd = now;
    const auto [first, end] = samplesIn(range);
    for (auto i = first; i < end; ++i) {
        auto &hold = m_holds[i];
        if (hold.fencingToken > fencingToken) {
            continue;
        }
        if (now < hold.until) {
            hold.busyUntil = std::min(hold.until, now + workLeft); // Work that outlasts the hold is aborted.
            hold.until = now;
        }
        workEnd = std::max(workEnd, hold.busyUntil);
    }
    return workEnd;
}

bool KeyHolderModel::usesKey(std::size_t sample, TimePoint now) const
{
    return now < m_holds[sample].until || now < m_holds[sample].busyUntil;
}

std::uint64_t KeyHolderModel::highestToken(std::size_t sample) const
{
    return m_holds[sample].fencingToken;
}

} // namespace Toucandeck::Standin
