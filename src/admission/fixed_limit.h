#pragma once

#include "admission/concurrency_limit.h"

namespace Toucandeck
{

/// Always the number of slots: the naive strategy.
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
