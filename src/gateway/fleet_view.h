#pragma once

#include "fleet/key_rows.h"
#include "log/logger.h"
#include "manifest/manifest_codec.h"
#include "manifest/route_table.h"

#include "common/clock.h"

#include <map>
#include <memory>
#include <peer.pb.h>
#include <set>

namespace Toucandeck
{

/// A manifest in force, with its route table.
struct LoadedManifest
{
    Manifest manifest;
    RouteTable routes;

    static std::shared_ptr<const LoadedManifest> create(Manifest manifest);
};

/// A gateway and the backend server beside it, as the controllers list them.
struct ListedGateway
{
    std::string ip;
    std::string failureDomain;
    std::string service; ///< Of the backend server; empty if there is none.
    std::string incarnation;
    bool serving = false; ///< The backend server takes new work.
    bool leaving = false; ///< The gateway shuts down.
    std::uint32_t slots = 0;
};

/// What a gateway knows of the fleet: the manifest in force, evacuations, the other gateways, and the holders of keys. It stays in
/// force while no controller answers.
class FleetView
{
public:
    FleetView(const Clock &clock, Logger &logger, const ManifestCodec &codec);

    /// Called after each change.
    void setChanged(std::function<void()> changed);

    /// Takes the parts that the update carries. An older manifest or key table is ignored.
    /// False if a part builds on something that is not here, so that the sender must send the whole.
    bool apply(const wire::FleetUpdate &update);

    /// Null until the controllers have sent a manifest.
    std::shared_ptr<const LoadedManifest> manifest() const;
    std::uint64_t manifestVersion() const;
    const ServiceSpec *service(const std::string &name) const;

    bool isEvacuated(const std::string &failureDomain) const;

    const ListedGateway *gateway(const std::string &ip) const;
    /// Gateways whose backend server is of this service.
    const std::vector<const ListedGateway *> &gatewaysOf(const std::string &service) const;

    /// Row of the key; null while the controllers have sent no table of the service.
    const KeyRow *holderOf(const std::string &service, std::uint32_t key) const;
    std::uint64_t tableRevision(const std::string &service) const;

    /// Time since the last update.
    Duration age() const;

private:
    struct Table
    {
        std::uint64_t revision = 0;
        KeyRows keys;
    };

    void applyManifest(const wire::ManifestDocument &document);
    bool applyChange(const wire::ChangeManifest &change);
    /// @param received is what this update carried of the manifest.
    void putInForce(Manifest manifest, const wire::ManifestDocument &received);
    void logUnreadable(std::uint64_t version, const std::string &error);
    bool applyTable(const wire::KeyTable &table);
    void applyGateways(const wire::FleetUpdate &update);
    void indexGateways();

    const Clock &m_clock;
    Logger &m_logger;
    const ManifestCodec &m_codec;
    std::function<void()> m_changed;
    std::shared_ptr<const LoadedManifest> m_manifest;
    std::set<std::string> m_evacuated;
    std::map<std::string, ListedGateway> m_gateways;
    std::map<std::string, std::vector<const ListedGateway *>> m_byService;
    std::map<std::string, Table> m_tables;
    TimePoint m_updated;
};

} // namespace Toucandeck
