#pragma once

#include "fleet/manifest_history.h"

#include "common/result.h"

#include <peer.pb.h>

namespace Toucandeck
{

/// Updates with which routers reach the manifest in force. A compressed one is made once for all routers that have the same version.
class ManifestUpdates
{
public:
    /// Sets the manifest in force; see ManifestHistory::update().
    void setManifest(const wire::ManifestDocument &document, std::uint64_t baseVersion);

    /// Adds what a router with @p version lacks: the changes since then or, if they are not known, the whole manifest.
    void addTo(wire::FleetUpdate &update, std::uint64_t version) const;
    void addCompressedTo(wire::FleetUpdate &update, std::uint64_t version);

    /// Returns the update of a manifest that addCompressedTo() has added. Errors: those of Toucandeck::decompress(); Corrupt.
    static Result<wire::FleetUpdate> decompress(const std::string &compressed);

private:
    ManifestHistory m_history;
    std::map<std::uint64_t, std::string> m_compressed; ///< By the version that the router has.
};

} // namespace Toucandeck
