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
    history.update(document(5, routes), 0);
    routes["r7"] = "other";
    routes.erase("r8");
    history.update(document(9, routes), 5);
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
    history.update(document(5, { { "a", "x" } }), 0);
    EXPECT_FALSE(history.changesSince(4));
    EXPECT_FALSE(history.changesSince(0));
    EXPECT_TRUE(history.changesSince(5));
}

TEST(ManifestHistory, SendsChangedLimits)
{
    ManifestHistory history;
    auto first = document(1, { { "a", "x" } });
    first.set_limits("small");
    history.update(first, 0);
    first.set_version(2);
    first.set_limits("large");
    history.update(first, 1);
    EXPECT_EQ(history.changesSince(1)->upsert().limits(), "large");
    EXPECT_TRUE(history.changesSince(2)->upsert().limits().empty());
}

// Guards against a gateway that keeps a rolled-back change: a leader that led before compared with its manifest from then.
TEST(ManifestHistory, KnowsNothingOfChangesThatItMissed)
{
    ManifestHistory history;
    history.update(document(1, { { "a", "x" } }), 0);
    history.update(document(2, { { "a", "x" }, { "b", "x" } }), 1);
    // Version 3 changed route a, version 4 changed it back.
    history.update(document(4, { { "a", "x" }, { "b", "x" } }), 3);
    EXPECT_FALSE(history.changesSince(2));
    EXPECT_FALSE(history.changesSince(3));
    EXPECT_TRUE(history.changesSince(4));
    history.update(document(5, { { "a", "y" }, { "b", "x" } }), 4);
    EXPECT_FALSE(history.changesSince(3));
    EXPECT_EQ(history.changesSince(4)->upsert().routes_size(), 1);
}

// A manifest from a snapshot names no version on which it builds.
TEST(ManifestHistory, KnowsNothingOfChangesBeforeAManifestOfUnknownBase)
{
    ManifestHistory history;
    history.update(document(1, { { "a", "x" } }), 0);
    history.update(document(3, { { "a", "x" } }), 0);
    EXPECT_FALSE(history.changesSince(1));
    EXPECT_TRUE(history.changesSince(3));
}

RC_GTEST_PROP(ManifestHistory, AReceiverOfAnyKnownVersionEndsWithTheManifestInForce, (bool missesSome))
{
    ManifestHistory history;
    std::map<std::uint64_t, wire::ManifestDocument> sent;
    std::map<std::string, std::string> routes{ { "a", "0" } };
    std::uint64_t base = 0;
    std::uint64_t version = 1;
    const auto steps = *rc::gen::inRange(2, 30);
    for (int i = 0; i < steps; ++i) {
        const auto current = document(version, routes);
        const bool isLast = i + 1 == steps;
        if (isLast || !missesSome || *rc::gen::arbitrary<bool>()) {
            history.update(current, base);
        }
        sent[version] = current;
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
        if (*rc::gen::inRange(0, 3) == 0) {
            routes.erase(name);
        } else {
            routes[name] = std::to_string(*rc::gen::inRange(0, 4));
        }
        base = version;
        version += 1 + *rc::gen::inRange<std::uint64_t>(0, 3);
    }
    const auto &newest = sent.rbegin()->second;
    RC_ASSERT(history.changesSince(newest.version()).has_value());
    for (auto [known, receiver] : sent) {
        const auto change = history.changesSince(known);
        RC_ASSERT(missesSome || change.has_value());
        if (change) {
            applyTo(receiver, *change);
            RC_ASSERT(google::protobuf::util::MessageDifferencer::Equals(receiver, newest));
        }
    }
}
