#pragma once

#include "admission/start_ramp.h"

#include "common/latency_window.h"

#include <optional>

namespace Toucandeck
{

struct ColdStartOptions
{
    unsigned windowPerLimit = 4; ///< Successes per unit of the limit before it doubles.
    /// Least time at one limit. A backend server that warms up evenly over 2 s from 2 slots to 9 bears 8 after 1.71 s, which
    /// the third window must not precede.
    Duration windowTime = std::chrono::milliseconds(600);
    double jumpFactor = 6; ///< Latency above this multiple of the median counts as cold; stragglers are five times slower.
    unsigned jumpAnswers = 5; ///< Consecutive answers above before the ramp restarts.
    std::size_t leastAnswers = 32; ///< Below this many recent answers the median says nothing.
    Duration latencySpan = std::chrono::seconds(10);
};

/// Starts at 1 and doubles after each window of successes. A shed answer or a latency jump restarts it.
class ColdStartRamp : public StartRamp
{
public:
    /// Begins ramped up; restart() begins a cold start.
    explicit ColdStartRamp(const Clock &clock, ColdStartOptions options = {});

    void setMaximum(unsigned slots) override;
    void restart() override;
    bool record(TimePoint started, const Outcome &outcome) override;
    unsigned limit() const override;

private:
    bool isLatencyJump(Duration latency);
    void countSuccess();

    const Clock &m_clock;
    ColdStartOptions m_options;
    std::optional<LatencyWindow> m_latency; ///< Without answers that count as slow.
    unsigned m_maximum = 0;
    unsigned m_limit = 0;
    unsigned m_successes = 0;
    unsigned m_slowAnswers = 0;
    bool m_ramping = false;
    TimePoint m_windowStart;
    TimePoint m_restarted;
};

} // namespace Toucandeck
