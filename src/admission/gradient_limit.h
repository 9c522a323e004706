#pragma once

#include "admission/concurrency_limit.h"

namespace Toucandeck
{

/// Follows the ratio of long-term to short-term latency: latency above the tolerance shrinks the limit before requests fail.
class GradientLimit : public ConcurrencyLimit
{
public:
    void setMaximum(unsigned slots) override;
    void record(const LimitSample &sample) override;
    unsigned limit() const override;

private:
    void follow(const LimitSample &sample);

    unsigned m_maximum = 0;
    double m_limit = 0;
    double m_longSeconds = 0;
    double m_shortSeconds = 0;
};

} // namespace Toucandeck
