// Guards against a gateway that goes back to an older manifest or key table, or forgets what it knows while no controller answers.
#include "gateway/fleet_view.h"

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
