#include "gateway/admission_tally.h"

namespace Toucandeck
{

AdmissionTally::Counts &AdmissionTally::countsFor(const Call &call)
{
    return m_counts.at(static_cast<std::size_t>(originOf(call)));
}

void AdmissionTally::recordStart(const Call &call, bool late)
{
    auto &counts = countsFor(call);
    ++counts.started;
    counts.startedLate += late ? 1 : 0;
}

void AdmissionTally::recordEnd(const Call &call, Duration slotTime)
{
    auto &counts = countsFor(call);
    ++counts.ended;
    counts.slotTime += slotTime;
}

void AdmissionTally::recordRefusal(const Call &call, wire::CallReason reason)
{
    auto &counts = countsFor(call);
    ++counts.refused;
    counts.refusedBusy += reason == wire::BUSY ? 1 : 0;
}

const AdmissionTally::Counts &AdmissionTally::of(CallOrigin origin) const
{
    return m_counts.at(static_cast<std::size_t>(origin));
}

} // namespace Toucandeck
