#include "fleet/manifest_orders.h"

#include "fleet/events.h"

namespace Toucandeck
{

std::string_view toString(OrderVerdict verdict)
{
    switch (verdict) {
    case OrderVerdict::Accepted:
        return "accepted";
    case OrderVerdict::Conflict:
        return "conflict";
    case OrderVerdict::Invalid:
        return "invalid";
    case OrderVerdict::NotLeader:
        return "not_leader";
    case OrderVerdict::Unavailable:
        break;
    }
    return "unavailable";
}

ManifestOrders::ManifestOrders(ReplicaGroup &group, const ManifestCodec &codec, Logger &logger, ManifestBarrier &barrier)
    : m_group(group)
    , m_codec(codec)
    , m_logger(logger)
    , m_barrier(barrier)
{
}

void ManifestOrders::reply(const char *order, std::uint64_t version, const OrderResult &result, const OrderCallback &answer)
{
    m_logger.write(FleetEvents::kOrderDecided,
                   { field("order", order),
                     field("version", version),
                     field("verdict", toString(result.verdict)),
                     field("reason", result.message),
                     field("manifest_version", m_group.state().manifest().version()),
                     field("term", m_group.term().value) });
    answer(result);
}

bool ManifestOrders::admitOrder(const char *order, const OrderCallback &answer)
{
    if (!m_group.isLeaderReady()) {
        reply(order, 0, { OrderVerdict::NotLeader, "this controller does not lead" }, answer);
        return false;
    }
    if (!m_group.isDurable()) {
        reply(order, 0, { OrderVerdict::Unavailable, "too few controllers would hold the order" }, answer);
        return false;
    }
    return true;
}

void ManifestOrders::change(wire::ChangeManifest change, OrderCallback answer)
{
    if (!admitOrder("manifest", answer)) {
        return;
    }
    // A deposed leader would refuse, because of an outdated version, an order that the current leader accepts.
    m_group.confirmLeadership([this, change = std::move(change), answer = std::move(answer)](bool leads) {
        if (!leads) {
            reply("manifest", change.upsert().version(), { OrderVerdict::Unavailable, "leadership was lost" }, answer);
            return;
        }
        proposeChange(change, answer);
    });
}

OrderResult ManifestOrders::checkChange(const wire::ChangeManifest &change) const
{
    const auto &current = m_group.state().manifest();
    if (change.base_version() != current.version()) {
        return { OrderVerdict::Conflict, fmt::format("the current version is {}", current.version()) };
    }
    if (change.upsert().version() <= current.version()) {
        return { OrderVerdict::Invalid,
                 fmt::format("version {} is not above the current {}", change.upsert().version(), current.version()) };
    }
    return handleError(
        [&]() -> Result<OrderResult> {
            BOOST_LEAF_AUTO(manifest, m_codec.decode(m_group.state().manifestAfter(change)));
            BOOST_LEAF_CHECK(checkManifest(manifest));
            return OrderResult{ OrderVerdict::Accepted, {} };
        },
        [](const Error &error) {
            return OrderResult{ OrderVerdict::Invalid, error.message };
        });
}

void ManifestOrders::proposeChange(const wire::ChangeManifest &change, const OrderCallback &answer)
{
    const auto version = change.upsert().version();
    if (m_group.state().isAccepted(change.order())) {
        confirmChange(version, "accepted before", answer);
        return;
    }
    const auto checked = checkChange(change);
    if (checked.verdict != OrderVerdict::Accepted) {
        reply("manifest", version, checked, answer);
        return;
    }
    wire::FleetCommand command;
    *command.mutable_change_manifest() = change;
    m_group.propose(command, [this, version, answer](std::optional<CommandOutcome> outcome) {
        if (!outcome) {
            reply("manifest", version, { OrderVerdict::Unavailable, "leadership was lost before the commit was known" }, answer);
        } else if (*outcome == CommandOutcome::Conflict) {
            const auto current = fmt::format("the current version is {}", m_group.state().manifest().version());
            reply("manifest", version, { OrderVerdict::Conflict, current }, answer);
        } else {
            confirmChange(version, "", answer);
        }
    });
}

void ManifestOrders::confirmChange(std::uint64_t version, const char *message, const OrderCallback &answer)
{
    m_barrier.await(version, [this, version, message, answer] { reply("manifest", version, { OrderVerdict::Accepted, message }, answer); });
}

void ManifestOrders::evacuate(const std::string &failureDomain, bool active, OrderCallback answer)
{
    const char *order = active ? "evacuation_start" : "evacuation_end";
    if (!admitOrder(order, answer)) {
        return;
    }
    wire::FleetCommand command;
    command.mutable_set_evacuation()->set_failure_domain(failureDomain);
    command.mutable_set_evacuation()->set_active(active);
    m_group.propose(command, [this, order, answer = std::move(answer)](std::optional<CommandOutcome> outcome) {
        OrderResult result{ OrderVerdict::Accepted, {} };
        if (!outcome) {
            result = { OrderVerdict::Unavailable, "leadership was lost before the commit was known" };
        } else if (*outcome == CommandOutcome::Conflict) {
            result = { OrderVerdict::Invalid, "the order cannot be read" };
        }
        reply(order, 0, result, answer);
    });
}

void ManifestOrders::read(ReadCallback answer)
{
    if (!m_group.isLeaderReady()) {
        answer({ OrderVerdict::NotLeader, "this controller does not lead" }, {});
        return;
    }
    m_group.confirmLeadership([this, answer = std::move(answer)](bool leads) {
        if (leads) {
            answer({ OrderVerdict::Accepted, {} }, m_group.state().manifest());
        } else {
            answer({ OrderVerdict::Unavailable, "leadership was lost" }, {});
        }
    });
}

} // namespace Toucandeck
