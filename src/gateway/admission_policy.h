#pragma once

namespace Toucandeck
{

/// What BackendAdmission does with a call that is expected to miss its latency target.
enum class AdmissionPolicy {
    RefuseLate, ///< Refuses it unless it waits for a small share of the time left until its deadline.
    ServeLate, ///< Queues it while it is expected to be answered before its deadline, and shares the slots fairly between entries.
};

} // namespace Toucandeck
