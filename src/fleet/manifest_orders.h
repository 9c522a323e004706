#pragma once

#include "fleet/replica_group.h"
#include "manifest/manifest_codec.h"

#include <functional>
#include <string>

namespace Toucandeck
{

/// What an operator is told about an order.
enum class OrderVerdict {
    Accepted, ///< Committed, now or earlier.
    Conflict, ///< Another version is in place.
    Invalid,
    NotLeader, ///< Another controller may know.
    Unavailable, ///< The order may or may not be committed; or it was not tried.
};

std::string_view toString(OrderVerdict verdict);

struct OrderResult
{
    OrderVerdict verdict = OrderVerdict::Unavailable;
    std::string message;
};

/// Operators' orders at a controller: changes of the manifest, evacuations, and reading the manifest.
class ManifestOrders
{
public:
    using Answer = std::function<void(const OrderResult &)>;
    using Read = std::function<void(const OrderResult &, const wire::ManifestDocument &)>;

    ManifestOrders(ReplicaGroup &group, const ManifestCodec &codec, Logger &logger);

    void change(wire::ChangeManifest change, Answer answer);
    void evacuate(const std::string &failureDomain, bool active, Answer answer);
    void read(Read answer);

private:
    bool canDecide(const char *order, const Answer &answer);
    void decide(const wire::ChangeManifest &change, const Answer &answer);
    OrderResult check(const wire::ChangeManifest &change) const;
    void reply(const char *order, std::uint64_t version, const OrderResult &result, const Answer &answer);

    ReplicaGroup &m_group;
    const ManifestCodec &m_codec;
    Logger &m_logger;
};

} // namespace Toucandeck
