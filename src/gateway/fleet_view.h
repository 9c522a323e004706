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

/// A gateway and the backend server on its VM, as listed by the controllers.
struct ListedGateway
{
    std::string ip;
    std::string failureDomain;
    std::string service; ///< Service of the backend server; empty if there is none.
    std::string incarnation;
    bool serving = false; ///< The backend server accepts new calls.
    bool leaving = false; ///< The gateway is shutting down.
    std::uint32_t slots = 0;
};

/// A gateway's view of the fleet: the manifest in force, evacuations, the gateways and the holders of keys. It remains valid while no
/// controller answers.
class FleetView
{
public:
    FleetView(const Clock &clock, Logger &logger, const ManifestCodec &codec);

    /// Called after each change.
    void setChangeHandler(std::function<void()> handler);

    /// Applies the parts that the update contains. An older manifest or key table is ignored.
    /// @return false if a change is based on a version that this gateway does not have, so that the sender must send the complete state.
    bool apply(const wire::FleetUpdate &update);

    /// Null until the controllers have sent a manifest.
    std::shared_ptr<const LoadedManifest> manifest() const;
    std::uint64_t manifestVersion() const;
    const ServiceSpec *service(const std::string &name) const;

    bool isEvacuated(const std::string &failureDomain) const;

    const ListedGateway *gateway(const std::string &ip) const;
    /// Gateways whose backend server runs this service.
    const std::vector<const ListedGateway *> &gatewaysOf(const std::string &service) const;

    /// Row that contains the key; null while the controllers have sent no table of the service.
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

    /// Applies the manifest that the update contains or the changes to it; these return false as apply() does.
    bool applyManifestParts(const wire::FleetUpdate &update);
    bool applyCompressed(const std::string &compressed);
    void applyManifest(const wire::ManifestDocument &document);
    bool applyChange(const wire::ChangeManifest &change);
    /// @param received is the part of the manifest that the update contains.
    void activateManifest(Manifest manifest, const wire::ManifestDocument &received);
    void logUnreadable(std::uint64_t version, const std::string &error);
    bool applyTable(const wire::KeyTable &table);
    void applyGateways(const wire::FleetUpdate &update);
    void indexGateways();

    const Clock &m_clock;
    Logger &m_logger;
    const ManifestCodec &m_codec;
    std::function<void()> m_changeHandler;
    std::shared_ptr<const LoadedManifest> m_manifest;
    std::set<std::string> m_evacuatedDomains;
    std::map<std::string, ListedGateway> m_gateways;
    std::map<std::string, std::vector<const ListedGateway *>> m_byService;
    std::map<std::string, Table> m_tables;
    TimePoint m_lastUpdate;
};

} // namespace Toucandeck
