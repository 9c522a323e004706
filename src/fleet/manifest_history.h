#pragma once

#include <cstdint>
#include <fleet.pb.h>
#include <map>
#include <optional>
#include <string>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Since which version each item of the manifest stands as it does, so that a receiver with an earlier version can be sent the
/// changes alone. A manifest with many routes takes the link of a small gateway for a good part of a second.
class ManifestHistory
{
public:
    /// Takes the manifest in force. Changes are known from the first one taken on.
    void update(const wire::ManifestDocument &document);

    /// All that has changed after @p version, or nothing if that is not known.
    std::optional<wire::ChangeManifest> changesSince(std::uint64_t version) const;

private:
    using Items = google::protobuf::Map<std::string, std::string>;
    using Versions = std::map<std::string, std::uint64_t>;

    static void noteItems(const Items &before, const Items &after, std::uint64_t version, Versions &changed, Versions &removed);

    wire::ManifestDocument m_document;
    std::uint64_t m_knownSince = 0; ///< Changes after this version are known; zero before the first manifest.
    Versions m_routes; ///< Version of the latest change.
    Versions m_services;
    Versions m_removedRoutes; ///< Version of the removal.
    Versions m_removedServices;
    std::uint64_t m_limitsChanged = 0;
};

} // namespace Toucandeck
