#include "fleet/manifest_updates.h"

#include "fleet/compression.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kMaxUpdateBytes = 96U << 20U; ///< As for an uncompressed message between processes.

/// Similar items follow each other in the order of their names, which makes the compressed form smaller.
std::string serializeInOrder(const wire::FleetUpdate &update)
{
    std::string out;
    google::protobuf::io::StringOutputStream stream(&out);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    update.SerializeToCodedStream(&coded);
    coded.Trim();
    return out;
}

} // namespace

void ManifestUpdates::setManifest(const wire::ManifestDocument &document, std::uint64_t baseVersion)
{
    m_history.update(document, baseVersion);
    m_compressed.clear();
}

void ManifestUpdates::addTo(wire::FleetUpdate &update, std::uint64_t version) const
{
    if (auto change = m_history.changesSince(version)) {
        *update.mutable_manifest_change() = std::move(*change);
    } else {
        *update.mutable_manifest() = m_history.document();
    }
}

void ManifestUpdates::addCompressedTo(wire::FleetUpdate &update, std::uint64_t version)
{
    auto &compressed = m_compressed[version];
    if (compressed.empty()) {
        wire::FleetUpdate uncompressed;
        addTo(uncompressed, version);
        compressed = compress(serializeInOrder(uncompressed));
    }
    update.set_compressed_manifest(compressed);
}

Result<wire::FleetUpdate> ManifestUpdates::decompress(const std::string &compressed)
{
    BOOST_LEAF_AUTO(text, Toucandeck::decompress(compressed, kMaxUpdateBytes));
    wire::FleetUpdate update;
    if (!update.ParseFromString(text)) {
        return fail(ErrorCode::Corrupt, "the decompressed data is not an update");
    }
    return update;
}

} // namespace Toucandeck
