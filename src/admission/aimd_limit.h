#pragma once

#include "admission/concurrency_limit.h"

namespace Toucandeck
{

/// Grows by one per limit's worth of answers while the limit is in use; shrinks by a tenth for each shed or failed request.
class AimdLimit : public ConcurrencyLimit
{
public:
    void setMaximum(unsigned slots) override;
    void record(const LimitSample &sample) override;
    unsigned limit() const override;

private:
    unsigned m_maximum = 0;
    double m_limit = 0;
};

} // namespace Toucandeck
