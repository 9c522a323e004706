// Guards against requests sent to the wrong route, incorrect shares of a weighted split, and invalid manifests that are accepted.
#include "manifest/manifest.h"
#include "manifest/route_table.h"

#include <gtest/gtest.h>
#include <map>

using namespace Toucandeck;

namespace
{

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route it;
    it.name = name;
    it.host = host;
    it.pathPrefix = prefix;
    it.timeout = std::chrono::seconds(1);
    it.targets = { { "svc", 1 } };
    return it;
}

Manifest manifestWith(const Route &it)
{
    Manifest manifest;
    manifest.version = 1;
    manifest.services["svc"] = { "svc" };
    manifest.routes[it.name] = it;
    return manifest;
}

bool isValid(const Route &it)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(checkManifest(manifestWith(it)));
            return true;
        },
        [](const Error &) { return false; });
}

} // namespace

TEST(RouteTable, TakesTheLongestPrefixOfTheHost)
{
    auto manifest = manifestWith(route("short", "a.example", "/x/"));
    manifest.routes["long"] = route("long", "a.example", "/x/y/");
    manifest.routes["other"] = route("other", "b.example", "/x/y/z/");
    const RouteTable table(manifest);
    EXPECT_EQ(table.find("a.example", "/x/y/z/1")->name, "long");
    EXPECT_EQ(table.find("a.example", "/x/1")->name, "short");
    EXPECT_EQ(table.find("A.Example:8080", "/x/1")->name, "short");
    EXPECT_EQ(table.find("a.example", "/1"), nullptr);
    EXPECT_EQ(table.find("c.example", "/x/1"), nullptr);
}

TEST(WeightedRoundRobin, GivesEachTargetItsShareAtAnyTime)
{
    auto it = route("r", "a.example", "/");
    it.targets = { { "a", 90 }, { "b", 10 } };
    WeightedRoundRobin splitter;
    std::map<std::string, int> counts;
    for (int i = 1; i <= 300; ++i) {
        ++counts[splitter.next(it)];
        EXPECT_NEAR(counts["b"], i * 0.1, 1.0);
    }
}

TEST(ManifestCheck, RefusesWhatNoGatewayCouldServe)
{
    EXPECT_TRUE(isValid(route("r", "a.example", "/x/")));
    EXPECT_FALSE(isValid(route("r", "", "/x/")));
    EXPECT_FALSE(isValid(route("r", "a.example", "x")));
    auto unknown = route("r", "a.example", "/x/");
    unknown.targets = { { "nobody", 1 } };
    EXPECT_FALSE(isValid(unknown));
    auto zeroWeight = route("r", "a.example", "/x/");
    zeroWeight.targets = { { "svc", 0 } };
    EXPECT_FALSE(isValid(zeroWeight));
}

TEST(ManifestCheck, BoundsTheTargetLatencyBeyondTheTimeout)
{
    auto it = route("r", "a.example", "/x/");
    it.targetLatency = it.timeout + std::chrono::seconds(59);
    EXPECT_TRUE(isValid(it));
    it.targetLatency = it.timeout + std::chrono::seconds(60);
    EXPECT_FALSE(isValid(it));
}
