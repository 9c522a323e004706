#pragma once

#include "common/time.h"
#include "fleet/key_rows.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Toucandeck::Standin
{

/// What a backend server that is granted keys by calls does with a call.
enum class GrantStatus {
    Ok = 200,
    BadRequest = 400,
    HigherTokenSeen = 409,
};

/// Keys of a backend server that is granted keys by calls. Only every kSampleDistance-th key is modelled.
class KeyHolderModel
{
public:
    static constexpr std::uint32_t kSampleDistance = 128;
    static constexpr std::size_t kSampleCount = kKeyCount / kSampleDistance;

    /// @param drift fraction by which its clock runs slow: holds last longer by that.
    explicit KeyHolderModel(double drift);

    /// @param arrival from which the hold time counts; the call may be applied later.
    GrantStatus grant(KeyRange range, std::uint64_t fencingToken, Duration holdTime, TimePoint arrival);
    /// Takes keys back. Returns the end of the work that runs on them; they are in use until then.
    TimePoint release(KeyRange range, std::uint64_t fencingToken, TimePoint now, Duration workLeft);

    /// True if work on the key may begin or is running.
    bool usesKey(std::size_t sample, TimePoint now) const;
    std::uint64_t highestToken(std::size_t sample) const;

private:
    struct Hold
    {
        std::uint64_t fencingToken = 0;
        TimePoint until; ///< End of the hold.
        TimePoint busyUntil; ///< End of running work after a release.
    };

    double m_drift;
    std::vector<Hold> m_holds;
};

} // namespace Toucandeck::Standin
