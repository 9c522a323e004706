#pragma once

#include <cstdint>
#include <fleet.pb.h>
#include <map>
#include <optional>
#include <string>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Version of the last change of each manifest item, so that a receiver with an earlier version is sent only the changes. A manifest
/// with many routes would occupy the link of a small gateway for a large part of a second.
class ManifestHistory
{
public:
    /// Records the manifest in force. Changes are known since the first recorded manifest, or since the latest one that does not directly
    /// follow its predecessor here: an item may have been changed and changed back by the versions in between.
    /// @param baseVersion version on which the manifest builds; zero if it is not known.
    void update(const wire::ManifestDocument &document, std::uint64_t baseVersion);

    /// The manifest in force.
    const wire::ManifestDocument &document() const;

    /// All changes after @p version, or nothing if they are not known.
    std::optional<wire::ChangeManifest> changesSince(std::uint64_t version) const;

private:
    using Items = google::protobuf::Map<std::string, std::string>;
    using Versions = std::map<std::string, std::uint64_t>;

    void restartAt(std::uint64_t version);
    static void recordChanges(const Items &before, const Items &after, std::uint64_t version, Versions &changed, Versions &removed);

    wire::ManifestDocument m_document;
    std::uint64_t m_historyStart = 0; ///< Changes after this version are known.
    Versions m_routeVersions; ///< Manifest version of the latest change, by route.
    Versions m_serviceVersions;
    Versions m_removedRouteVersions; ///< Manifest version of the removal, by route.
    Versions m_removedServiceVersions;
    std::uint64_t m_limitsVersion = 0; ///< Manifest version of the latest change of the limits.
};

} // namespace Toucandeck
