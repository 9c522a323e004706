#pragma once

#include "admission/concurrency_limit.h"

namespace Toucandeck
{

/// Additive increase, multiplicative decrease: grows by about 1 per `limit()` answers while at least half of the limit is in use;
/// shrinks by a tenth for each shed or failed request.
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
