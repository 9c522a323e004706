// Guards against gateways whose manifest differs from the one in force after they were sent only the changes.
#include "fleet/manifest_history.h"

#include <google/protobuf/util/message_differencer.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;

namespace
{

wire::ManifestDocument document(std::uint64_t version, const std::map<std::string, std::string> &routes)
{
    wire::ManifestDocument it;
    it.set_version(version);
    for (const auto &[name, text] : routes) {
        (*it.mutable_routes())[name] = text;
    }
    return it;
}

void applyTo(wire::ManifestDocument &document, const wire::ChangeManifest &change)
{
    document.set_version(change.upsert().version());
    for (const auto &it : change.removed_routes()) {
        document.mutable_routes()->erase(it);
    }
    for (const auto &[name, text] : change.upsert().routes()) {
        (*document.mutable_routes())[name] = text;
    }
}

} // namespace

TEST(ManifestHistory, SendsOnlyWhatHasChanged)
{
    ManifestHistory history;
    std::map<std::string, std::string> routes;
    for (int i = 0; i < 1200; ++i) {
        routes["r" + std::to_string(i)] = "text";
    }
    history.update(document(5, routes));
    routes["r7"] = "other";
    routes.erase("r8");
    history.update(document(9, routes));
    const auto change = history.changesSince(5);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->upsert().routes_size(), 1);
    EXPECT_EQ(change->removed_routes_size(), 1);
    EXPECT_EQ(change->base_version(), 5U);
    EXPECT_EQ(change->upsert().version(), 9U);
}

TEST(ManifestHistory, KnowsNothingOfChangesBeforeItsFirstManifest)
{
    ManifestHistory history;
    EXPECT_FALSE(history.changesSince(0));
    history.update(document(5, { { "a", "x" } }));
    EXPECT_FALSE(history.changesSince(4));
    EXPECT_FALSE(history.changesSince(0));
    EXPECT_TRUE(history.changesSince(5));
}

TEST(ManifestHistory, SendsChangedLimits)
{
    ManifestHistory history;
    auto first = document(1, { { "a", "x" } });
    first.set_limits("small");
    history.update(first);
    first.set_version(2);
    first.set_limits("large");
    history.update(first);
    EXPECT_EQ(history.changesSince(1)->upsert().limits(), "large");
    EXPECT_TRUE(history.changesSince(2)->upsert().limits().empty());
}

RC_GTEST_PROP(ManifestHistory, AReceiverOfAnyKnownVersionEndsWithTheManifestInForce, ())
{
    ManifestHistory history;
    std::map<std::uint64_t, wire::ManifestDocument> sent;
    std::map<std::string, std::string> routes{ { "a", "0" } };
    std::uint64_t version = 1;
    const auto steps = *rc::gen::inRange(2, 30);
    for (int i = 0; i < steps; ++i) {
        const auto current = document(version, routes);
        history.update(current);
        sent[version] = current;
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
        if (*rc::gen::inRange(0, 3) == 0) {
            routes.erase(name);
        } else {
            routes[name] = std::to_string(*rc::gen::inRange(0, 4));
        }
        version += 1 + *rc::gen::inRange<std::uint64_t>(0, 3);
    }
    const auto &newest = sent.rbegin()->second;
    for (auto [base, receiver] : sent) {
        const auto change = history.changesSince(base);
        RC_ASSERT(change.has_value());
        applyTo(receiver, *change);
        RC_ASSERT(google::protobuf::util::MessageDifferencer::Equals(receiver, newest));
    }
}
