// Guards against a gateway that reverts to an older manifest or key table, or loses its state while no controller answers.
#include "gateway/fleet_view.h"

#include "fleet/manifest_updates.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

class VersionCodec : public ManifestCodec
{
public:
    Result<Manifest> decode(const wire::ManifestDocument &document) const override
    {
        if (document.limits() == "bad") {
            return fail(ErrorCode::InvalidArgument, "not readable");
        }
        Manifest manifest;
        manifest.version = document.version();
        for (const auto &[name, text] : document.routes()) {
            manifest.routes[name].host = text;
        }
        return manifest;
    }
};

class FleetViewTest : public testing::Test
{
protected:
    FleetViewTest()
        : m_view(m_clock, m_logger, m_codec)
    {
    }

    void manifest(std::uint64_t version, const std::string &limits = {})
    {
        wire::FleetUpdate update;
        update.mutable_manifest()->set_version(version);
        update.mutable_manifest()->set_limits(limits);
        m_view.apply(update);
    }

    void list(const std::vector<std::string> &ips, bool complete)
    {
        wire::FleetUpdate update;
        update.set_routers_complete(complete);
        for (const auto &it : ips) {
            update.add_routers()->set_router(it);
        }
        m_view.apply(update);
    }

    ManualClock m_clock;
    NullLogger m_logger;
    VersionCodec m_codec;
    FleetView m_view;
};

} // namespace

TEST_F(FleetViewTest, KeepsTheNewestManifest)
{
    manifest(7);
    manifest(5);
    EXPECT_EQ(m_view.manifestVersion(), 7U);
}

TEST_F(FleetViewTest, KeepsTheManifestInForceIfTheNextCannotBeRead)
{
    manifest(7);
    manifest(8, "bad");
    EXPECT_EQ(m_view.manifestVersion(), 7U);
}

TEST_F(FleetViewTest, AppliesACompressedManifestAndCompressedChanges)
{
    ManifestUpdates updates;
    int changes = 0;
    m_view.setChangeHandler([&changes] { ++changes; });
    for (const std::uint64_t version : { 3, 7 }) {
        wire::ManifestDocument document;
        document.set_version(version);
        (*document.mutable_routes())["r" + std::to_string(version)] = "a.example";
        updates.setManifest(document, m_view.manifestVersion());
        wire::FleetUpdate update;
        updates.addCompressedTo(update, m_view.manifestVersion());
        EXPECT_TRUE(m_view.apply(update));
    }
    EXPECT_EQ(m_view.manifestVersion(), 7U);
    EXPECT_EQ(m_view.manifest()->manifest.routes.size(), 1U);
    EXPECT_EQ(m_view.manifest()->manifest.routes.count("r7"), 1U);
    EXPECT_EQ(changes, 2);
}

TEST_F(FleetViewTest, AsksForTheCompleteStateIfACompressedChangeIsOfAnUnknownVersion)
{
    ManifestUpdates updates;
    for (const std::uint64_t version : { 3, 7 }) {
        wire::ManifestDocument document;
        document.set_version(version);
        updates.setManifest(document, version == 7 ? 3 : 0);
    }
    wire::FleetUpdate update;
    updates.addCompressedTo(update, 3);
    EXPECT_FALSE(m_view.apply(update));
    EXPECT_EQ(m_view.manifestVersion(), 0U);
}

TEST_F(FleetViewTest, KeepsTheManifestInForceIfTheNextCannotBeDecompressed)
{
    manifest(7);
    wire::FleetUpdate update;
    update.set_compressed_manifest("text");
    EXPECT_TRUE(m_view.apply(update));
    EXPECT_EQ(m_view.manifestVersion(), 7U);
}

TEST_F(FleetViewTest, MergesAnIncompleteListAndReplacesByACompleteOne)
{
    list({ "a", "b" }, true);
    list({ "c" }, false);
    EXPECT_NE(m_view.gateway("a"), nullptr);
    EXPECT_NE(m_view.gateway("c"), nullptr);
    list({ "c" }, true);
    EXPECT_EQ(m_view.gateway("a"), nullptr);
}

TEST_F(FleetViewTest, KeepsTheNewestKeyTable)
{
    for (const std::uint64_t revision : { 9, 4 }) {
        wire::FleetUpdate update;
        auto *table = update.add_tables();
        table->set_service("svc");
        table->set_revision(revision);
        *table->add_rows() = toWire(KeyRow{ { 0, kKeyCount - 1 }, "x", std::to_string(revision), revision, {} });
        m_view.apply(update);
    }
    EXPECT_EQ(m_view.holderOf("svc", 1)->router, "9");
}

TEST_F(FleetViewTest, MergesChangesOfTheManifest)
{
    wire::FleetUpdate whole;
    whole.mutable_manifest()->set_version(4);
    (*whole.mutable_manifest()->mutable_routes())["kept"] = "a";
    (*whole.mutable_manifest()->mutable_routes())["removed"] = "b";
    m_view.apply(whole);
    wire::FleetUpdate update;
    auto &change = *update.mutable_manifest_change();
    change.set_base_version(3);
    change.mutable_upsert()->set_version(6);
    (*change.mutable_upsert()->mutable_routes())["added"] = "c";
    change.add_removed_routes("removed");
    m_view.apply(update);
    const auto &routes = m_view.manifest()->manifest.routes;
    EXPECT_EQ(m_view.manifestVersion(), 6U);
    EXPECT_EQ(routes.size(), 2U);
    EXPECT_EQ(routes.at("kept").host, "a");
    EXPECT_EQ(routes.at("added").host, "c");
}

TEST_F(FleetViewTest, IgnoresChangesThatBuildOnAManifestThatItLacks)
{
    manifest(4);
    wire::FleetUpdate update;
    update.mutable_manifest_change()->set_base_version(5);
    update.mutable_manifest_change()->mutable_upsert()->set_version(6);
    EXPECT_FALSE(m_view.apply(update));
    EXPECT_EQ(m_view.manifestVersion(), 4U);
}

TEST_F(FleetViewTest, MergesChangedRowsOfAKeyTable)
{
    const auto row
        = [](wire::KeyTable &table, std::uint32_t from, std::uint32_t to, const std::string &router, std::uint64_t fencingToken) {
              auto &it = *table.add_rows();
              it.set_from(from);
              it.set_to(to);
              it.set_router(router);
              it.set_fence(fencingToken);
          };
    wire::FleetUpdate whole;
    auto &table = *whole.add_tables();
    table.set_service("svc");
    table.set_revision(3);
    row(table, 0, 999, "a", 3);
    row(table, 1000, kKeyCount - 1, "b", 3);
    m_view.apply(whole);
    wire::FleetUpdate update;
    auto &change = *update.add_tables();
    change.set_service("svc");
    change.set_revision(8);
    change.set_base_revision(3);
    row(change, 500, 1499, "c", 8);
    m_view.apply(update);
    EXPECT_EQ(m_view.holderOf("svc", 499)->router, "a");
    EXPECT_EQ(m_view.holderOf("svc", 500)->router, "c");
    EXPECT_EQ(m_view.holderOf("svc", 1499)->router, "c");
    EXPECT_EQ(m_view.holderOf("svc", 1500)->router, "b");
    change.set_revision(12);
    change.set_base_revision(9);
    EXPECT_FALSE(m_view.apply(update));
    EXPECT_EQ(m_view.tableRevision("svc"), 8U); // It lacks revision 9.
}
