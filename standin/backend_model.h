#pragma once

#include "common/clock.h"
#include "common/random_source.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Toucandeck::Standin
{

/// Behaviour of a stand-in backend server. Times are the stand-in's own, not the network's.
struct BackendOptions
{
    std::uint32_t slots = 9;
    Duration meanServiceTime = std::chrono::milliseconds(4);
    /// Number of requests that a completely cold server can run at a time.
    std::uint32_t coldSlots = 2;
    /// Time of work after which a cold server can use all its slots.
    Duration warmUp = std::chrono::seconds(2);
    bool startsCold = false;
    /// Checks epoch and end of the grant of each keyed request.
    bool fenced = true;
};

/// Decision about a request.
enum class BackendDecision {
    Run,
    Shed, ///< More requests than the server can run now.
    StaleGrant, ///< The epoch is below the highest seen, or the grant has ended.
    DeadlinePassed, ///< The deadline passed before the start.
};

/// The part of a request that the decision depends on.
struct BackendRequest
{
    std::optional<std::uint32_t> partition;
    std::uint64_t epoch = 0;
    /// End of the grant on the monotonic clock of this VM.
    std::optional<TimePoint> grantUntil;
    std::optional<Duration> deadline;
};

/// Decisions of a backend server with slots, cold start and fencing. Performs no input or output.
class BackendModel
{
public:
    BackendModel(BackendOptions options, const Clock &clock, RandomSource &random);

    /// Takes a slot if the answer is Run.
    BackendDecision begin(const BackendRequest &request);
    /// Frees the slot.
    void end();

    /// Time that the next request takes: exponential around the mean, times the slow factor.
    Duration nextServiceTime();

    /// Number of requests that the server can run at a time now.
    std::uint32_t bearable() const;
    bool isCold() const;
    /// Makes the server cold at once, as after the loss of its caches.
    void turnCold();
    /// 1 is normal; 5 makes a straggler.
    void setSlowFactor(double factor);

    std::uint32_t running() const;
    std::uint64_t started() const;
    std::uint64_t shed() const;
    std::uint64_t staleGrants() const;

private:
    bool grantIsValid(const BackendRequest &request);

    BackendOptions m_options;
    const Clock &m_clock;
    RandomSource &m_random;
    std::map<std::uint32_t, std::uint64_t> m_highestEpoch;
    std::optional<TimePoint> m_coldSince;
    double m_slowFactor = 1.0;
    std::uint32_t m_running = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_staleGrants = 0;
};

} // namespace Toucandeck::Standin
