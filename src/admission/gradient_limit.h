#pragma once

#include "admission/concurrency_limit.h"

namespace Toucandeck
{

/// Adapts the limit to the ratio of long-term to short-term latency: short-term latency above the tolerance shrinks the limit
/// before requests fail.
class GradientLimit : public ConcurrencyLimit
{
public:
    void setMaximum(unsigned slots) override;
    void record(const LimitSample &sample) override;
    unsigned limit() const override;

private:
    void adjustToLatency(const LimitSample &sample);

    unsigned m_maximum = 0;
    double m_limit = 0;
    double m_longTermSeconds = 0;
    double m_shortTermSeconds = 0;
};

} // namespace Toucandeck
