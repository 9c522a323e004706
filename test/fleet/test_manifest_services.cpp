// Guards against keys that no controller assigns, because their service is not known to be divided by key.
#include "fleet/manifest_services.h"

#include "fleet/events.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

/// Reads the service names of a document; the text of a service is "keyed" or "plain".
class FakeCodec : public ManifestCodec
{
public:
    Result<Manifest> decode(const wire::ManifestDocument &document) const override
    {
        Manifest manifest;
        for (const auto &[name, text] : document.services()) {
            if (text != "keyed" && text != "plain") {
                return fail(ErrorCode::InvalidArgument, name + ": malformed");
            }
            manifest.services[name].keyed = text == "keyed";
        }
        return manifest;
    }
};

wire::ManifestDocument document(std::uint64_t version, const std::map<std::string, std::string> &services)
{
    wire::ManifestDocument it;
    it.set_version(version);
    it.mutable_services()->insert(services.begin(), services.end());
    return it;
}

} // namespace

TEST(ManifestServices, FollowTheManifest)
{
    const FakeCodec codec;
    NullLogger logger;
    ManifestServices services(codec, logger);
    services.update(document(1, { { "a", "keyed" }, { "b", "plain" }, { "c", "keyed" } }));
    EXPECT_THAT(services.keyed(), testing::ElementsAre("a", "c"));
    EXPECT_TRUE(services.contains("b"));
    services.update(document(2, { { "b", "keyed" } }));
    EXPECT_THAT(services.keyed(), testing::ElementsAre("b"));
    EXPECT_FALSE(services.contains("a"));
}

// Guards against the end of all assignments of keys when a committed manifest cannot be decoded, for example after a downgrade.
TEST(ManifestServices, AreKeptIfTheManifestCannotBeDecoded)
{
    const FakeCodec codec;
    RecordingLogger logger;
    ManifestServices services(codec, logger);
    services.update(document(1, { { "a", "keyed" } }));
    services.update(document(2, { { "a", "keyed" }, { "b", "unknown" } }));
    EXPECT_THAT(services.keyed(), testing::ElementsAre("a"));
    EXPECT_EQ(logger.count(FleetEvents::kManifestUnreadable), 1);
}
