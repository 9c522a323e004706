#pragma once

#include "admission/start_ramp.h"

#include "common/latency_window.h"

#include <optional>

namespace Toucandeck
{

struct ColdStartOptions
{
    unsigned successesPerSlot = 4; ///< Successful answers per slot of the limit before the limit doubles.
    /// Minimum time at one limit. A backend server whose capacity grows linearly from 2 to 9 slots in 2 s can handle 8 requests
    /// only after 1.71 s; the third window, which raises the limit to 8, must not end earlier.
    Duration minWindowDuration = std::chrono::milliseconds(600);
    double latencyJumpFactor = 6; ///< Latency above this multiple of the median indicates a cold start; stragglers are only 5 times slower.
    unsigned slowAnswersToRestart = 5; ///< Consecutive slow answers that restart the ramp.
    std::size_t minAnswers = 32; ///< With fewer recent answers the median is unreliable and not used.
    Duration latencyWindow = std::chrono::seconds(10); ///< Time window of the median.
};

/// Slow start: the limit begins at 1 and doubles after each window of successful answers. A shed answer or a latency jump restarts
/// it.
class ColdStartRamp : public StartRamp
{
public:
    /// Starts warm, at the maximum; restart() begins a cold start.
    explicit ColdStartRamp(const Clock &clock, ColdStartOptions options = {});

    void setMaximum(unsigned slots) override;
    void restart() override;
    bool record(TimePoint startTime, const Outcome &outcome) override;
    unsigned limit() const override;

private:
    bool countsAsLatencyJump(Duration latency);
    void recordSuccess();

    const Clock &m_clock;
    ColdStartOptions m_options;
    std::optional<LatencyWindow> m_latency; ///< Excludes answers that count as slow.
    unsigned m_maximum = 0;
    unsigned m_limit = 0;
    unsigned m_successes = 0;
    unsigned m_slowAnswers = 0;
    bool m_isRamping = false;
    TimePoint m_windowStart;
    TimePoint m_restartTime;
};

} // namespace Toucandeck
