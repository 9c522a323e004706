#include "gateway/instance_check.h"

namespace Toucandeck
{

const char *toString(InstanceVerdict verdict)
{
    switch (verdict) {
    case InstanceVerdict::Accepted:
        return "accepted";
    case InstanceVerdict::OtherAddress:
        return "other_address";
    case InstanceVerdict::UnknownService:
        return "unknown_service";
    case InstanceVerdict::OtherService:
        return "other_service";
    case InstanceVerdict::NoKeyLists:
        return "no_key_lists";
    case InstanceVerdict::Unverified:
        return "unverified";
    case InstanceVerdict::Stale:
        return "stale";
    }
    return "unknown";
}

InstanceCheck::InstanceCheck(BackendIdentity identity)
    : m_identity(std::move(identity))
{
}

void InstanceCheck::setServiceLookup(ServiceLookup lookup)
{
    m_lookup = std::move(lookup);
}

InstanceVerdict InstanceCheck::check(const Heartbeat &it, const Context &context) const
{
    if (it.address != m_identity.address) {
        return InstanceVerdict::OtherAddress;
    }
    if (const auto verdict = checkService(it.service, context); verdict != InstanceVerdict::Accepted) {
        return verdict;
    }
    if (const auto verdict = checkKeyLists(it, context.latest); verdict != InstanceVerdict::Accepted) {
        return verdict;
    }
    return context.latest && isStale(it, *context.latest) ? InstanceVerdict::Stale : InstanceVerdict::Accepted;
}

InstanceVerdict InstanceCheck::check(const DepartureNotice &it, const Context &context) const
{
    if (it.address && *it.address != m_identity.address) {
        return InstanceVerdict::OtherAddress;
    }
    return it.service ? checkService(*it.service, context) : InstanceVerdict::Accepted;
}

InstanceVerdict InstanceCheck::checkService(const std::string &service, const Context &context) const
{
    // A service that the latest manifest has dropped is still that of its processes.
    if (service == m_identity.service || (context.latest && service == context.latest->service)) {
        return InstanceVerdict::Accepted;
    }
    if (!m_lookup || m_lookup(service) == nullptr) {
        return InstanceVerdict::UnknownService;
    }
    const bool hasTerminated = context.latest && context.latest->hasTerminated;
    return hasTerminated || context.silence >= kServiceChangeSilence ? InstanceVerdict::Accepted : InstanceVerdict::OtherService;
}

InstanceVerdict InstanceCheck::checkKeyLists(const Heartbeat &it, const std::optional<LatestProcess> &latest) const
{
    if (it.listsKeys) {
        return InstanceVerdict::Accepted;
    }
    if (const auto *service = m_lookup ? m_lookup(it.service) : nullptr) {
        return service->keyed ? InstanceVerdict::NoKeyLists : InstanceVerdict::Accepted;
    }
    if (!latest || !isSameProcess(it, *latest)) {
        return InstanceVerdict::Unverified;
    }
    return latest->listsKeys ? InstanceVerdict::NoKeyLists : InstanceVerdict::Accepted;
}

bool InstanceCheck::isSameProcess(const Heartbeat &it, const LatestProcess &latest)
{
    return it.startUnixMs == latest.startUnixMs && it.instance == latest.instance;
}

bool InstanceCheck::isStale(const Heartbeat &it, const LatestProcess &latest)
{
    return isSameProcess(it, latest) ? it.sequence <= latest.sequence : it.startUnixMs < latest.startUnixMs;
}

} // namespace Toucandeck
