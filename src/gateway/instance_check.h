#pragma once

#include "gateway/heartbeat.h"

#include "manifest/manifest.h"

#include <functional>

namespace Toucandeck
{

/// What the settings say about the backend server on a VM.
struct BackendIdentity
{
    std::string address; ///< "IP:PORT"
    std::string service;
};

/// Result of the check of a message whose sender says that it is the backend server on this VM.
enum class InstanceVerdict {
    Accepted, ///< It is the backend server: the latest process or a later one.
    OtherAddress,
    UnknownService, ///< Neither the settings nor the manifest names the service.
    OtherService, ///< The manifest names the service, the settings another one, whose process may be running and hold keys.
    NoKeyLists, ///< Its service is divided by key, and the heartbeat does not say which keys it holds and has released.
    Unverified, ///< As before, but without the service in the manifest it is not known whether it is divided by key.
    Stale, ///< From an earlier process, or older than the latest heartbeat of the process.
};

/// Text of a verdict for logs and metrics, such as "other_address".
const char *toString(InstanceVerdict verdict);

/// All verdicts but Accepted.
inline constexpr InstanceVerdict kRejections[]
    = { InstanceVerdict::OtherAddress, InstanceVerdict::UnknownService, InstanceVerdict::OtherService,
        InstanceVerdict::NoKeyLists,   InstanceVerdict::Unverified,     InstanceVerdict::Stale };

/// Decides which heartbeats and notices are of the backend server on this VM. Any process on the VM can send them, so a message that this
/// check rejects must not change what is known about the backend server, its keys and its departure.
///
/// The settings name the service of the VM. They are the only information that holds before the first manifest and after a restart.
class InstanceCheck
{
public:
    /// Returns the entry of a service in the manifest in force; null if the manifest does not name it or there is no manifest yet.
    using ServiceLookup = std::function<const ServiceSpec *(const std::string &service)>;

    /// A process of another service than that of the settings is accepted once no heartbeat has been accepted for this time. Longer than
    /// any lease lasts, so that the process before it holds no keys.
    static constexpr std::chrono::seconds kServiceChangeSilence{ 5 };

    /// The process that sent the latest accepted heartbeat.
    struct LatestProcess
    {
        std::string instance;
        std::int64_t startUnixMs = 0;
        std::uint64_t sequence = 0; ///< Of the latest heartbeat.
        std::string service;
        bool listsKeys = true; ///< As in Heartbeat.
        bool hasTerminated = false;
    };

    /// What is known when a message arrives.
    struct Context
    {
        std::optional<LatestProcess> latest; ///< None if no heartbeat was accepted yet.
        Duration silence{}; ///< Time since the latest accepted heartbeat, or since the start of this process.
    };

    explicit InstanceCheck(BackendIdentity identity);

    void setServiceLookup(ServiceLookup lookup);

    InstanceVerdict check(const Heartbeat &it, const Context &context) const;
    /// Never Stale: a notice may be of an earlier process.
    InstanceVerdict check(const DepartureNotice &it, const Context &context) const;

private:
    InstanceVerdict checkService(const std::string &service, const Context &context) const;
    InstanceVerdict checkKeyLists(const Heartbeat &it, const std::optional<LatestProcess> &latest) const;
    static bool isSameProcess(const Heartbeat &it, const LatestProcess &latest);
    static bool isStale(const Heartbeat &it, const LatestProcess &latest);

    BackendIdentity m_identity;
    ServiceLookup m_lookup;
};

} // namespace Toucandeck
