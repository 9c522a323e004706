#pragma once

#include "admission/concurrency_limit.h"

namespace Toucandeck
{

/// Limit equal to the number of slots; the baseline for comparisons.
class FixedLimit : public ConcurrencyLimit
{
public:
    void setMaximum(unsigned slots) override;
    void record(const LimitSample &sample) override;
    unsigned limit() const override;

private:
    unsigned m_maximum = 0;
};

} // namespace Toucandeck
