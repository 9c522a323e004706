#include "admission/fixed_limit.h"

namespace Toucandeck
{

void FixedLimit::setMaximum(unsigned slots)
{
    m_maximum = slots;
}

void FixedLimit::record(const LimitSample & /*sample*/)
{
}

unsigned FixedLimit::limit() const
{
    return m_maximum;
}

} // namespace Toucandeck
