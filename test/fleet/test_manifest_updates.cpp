// Guards against gateways whose manifest differs from the one in force after a compressed update, and against the work of compressing
// the same update for each of them.
#include "fleet/manifest_updates.h"

#include <google/protobuf/util/message_differencer.h>
#include <gtest/gtest.h>

using namespace Toucandeck;
using google::protobuf::util::MessageDifferencer;

namespace
{

wire::ManifestDocument document(std::uint64_t version, int routes)
{
    wire::ManifestDocument it;
    it.set_version(version);
    for (int i = 0; i < routes; ++i) {
        (*it.mutable_routes())["r" + std::to_string(i)] = "text";
    }
    return it;
}

ErrorCode errorOf(const std::string &compressed)
{
    return handleError(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(ManifestUpdates::decompress(compressed));
            ADD_FAILURE() << "no error";
            return ErrorCode::Unavailable;
        },
        [](const Error &error) { return error.code; });
}

} // namespace

TEST(ManifestUpdates, TheCompressedUpdateIsTheUncompressedOne)
{
    ManifestUpdates updates;
    updates.setManifest(document(5, 100), 0);
    updates.setManifest(document(9, 1300), 5);
    for (const std::uint64_t version : { 0, 3, 5 }) {
        wire::FleetUpdate uncompressed;
        updates.addTo(uncompressed, version);
        wire::FleetUpdate compressed;
        updates.addCompressedTo(compressed, version);
        EXPECT_FALSE(compressed.has_manifest());
        EXPECT_FALSE(compressed.has_manifest_change());
        EXPECT_TRUE(MessageDifferencer::Equals(ManifestUpdates::decompress(compressed.compressed_manifest()).value(), uncompressed));
        EXPECT_EQ(uncompressed.has_manifest_change(), version == 5);
    }
}

TEST(ManifestUpdates, ACompressedUpdateDoesNotOutliveItsManifest)
{
    ManifestUpdates updates;
    updates.setManifest(document(5, 1), 0);
    wire::FleetUpdate first;
    updates.addCompressedTo(first, 0);
    updates.setManifest(document(6, 2), 5);
    wire::FleetUpdate second;
    updates.addCompressedTo(second, 0);
    EXPECT_EQ(ManifestUpdates::decompress(second.compressed_manifest()).value().manifest().version(), 6U);
}

TEST(ManifestUpdates, RejectsDataThatIsNoUpdate)
{
    EXPECT_EQ(errorOf("text"), ErrorCode::Corrupt);
}
