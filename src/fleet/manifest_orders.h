#pragma once

#include "fleet/manifest_barrier.h"
#include "fleet/replica_group.h"
#include "manifest/manifest_codec.h"

#include <functional>
#include <string>

namespace Toucandeck
{

/// Outcome of an order as reported to the operator.
enum class OrderVerdict {
    Accepted, ///< Committed now or by an earlier submission.
    Conflict, ///< The order is based on another version than the current one.
    Invalid,
    NotLeader, ///< Not decided here; another controller may be the leader.
    Unavailable, ///< The order may or may not be committed, or it was not proposed.
};

std::string_view toString(OrderVerdict verdict);

struct OrderResult
{
    OrderVerdict verdict = OrderVerdict::Unavailable;
    std::string message;
};

/// Executes operators' orders at a controller: changing the manifest, evacuating failure domains, and reading the manifest.
class ManifestOrders
{
public:
    using OrderCallback = std::function<void(const OrderResult &)>;
    using ReadCallback = std::function<void(const OrderResult &, const wire::ManifestDocument &)>;

    /// All arguments must outlive this object.
    ManifestOrders(ReplicaGroup &group, const ManifestCodec &codec, Logger &logger, ManifestBarrier &barrier);

    /// Changes the manifest. A repeated order is accepted without a second change.
    void change(wire::ChangeManifest change, OrderCallback answer);
    /// Starts the evacuation of a failure domain, or ends it if not @p active.
    void evacuate(const std::string &failureDomain, bool active, OrderCallback answer);
    /// Reads the manifest after a quorum has confirmed the leadership.
    void read(ReadCallback answer);

private:
    /// Replies and returns false if this controller cannot commit an order now.
    bool admitOrder(const char *order, const OrderCallback &answer);
    void proposeChange(const wire::ChangeManifest &change, const OrderCallback &answer);
    /// Replies that the order is accepted, once its manifest is in force or the longest delay has passed.
    void confirmChange(std::uint64_t version, const char *message, const OrderCallback &answer);
    OrderResult checkChange(const wire::ChangeManifest &change) const;
    void reply(const char *order, std::uint64_t version, const OrderResult &result, const OrderCallback &answer);

    ReplicaGroup &m_group;
    const ManifestCodec &m_codec;
    Logger &m_logger;
    ManifestBarrier &m_barrier;
};

} // namespace Toucandeck
