#include "gateway/fleet_view.h"

#include "fleet/manifest_updates.h"
#include "gateway/events.h"

namespace Toucandeck
{

std::shared_ptr<const LoadedManifest> LoadedManifest::create(Manifest manifest)
{
    auto loaded = std::make_shared<LoadedManifest>();
    loaded->manifest = std::move(manifest);
    loaded->routes = RouteTable(loaded->manifest);
    return loaded;
}

FleetView::FleetView(const Clock &clock, Logger &logger, const ManifestCodec &codec)
    : m_clock(clock)
    , m_logger(logger)
    , m_codec(codec)
    , m_lastUpdate(clock.now())
{
}

void FleetView::setChangeHandler(std::function<void()> handler)
{
    m_changeHandler = std::move(handler);
}

bool FleetView::apply(const wire::FleetUpdate &update)
{
    m_lastUpdate = m_clock.now();
    const bool hasManifestParts = update.has_manifest() || update.has_manifest_change() || !update.compressed_manifest().empty();
    bool complete = applyManifestParts(update);
    if (update.has_evacuations()) {
        m_evacuatedDomains = { update.evacuated().begin(), update.evacuated().end() };
        m_logger.write(GatewayEvents::kEvacuations, { field("evacuated", m_evacuatedDomains.size()), field("term", update.term()) });
    }
    for (const auto &it : update.tables()) {
        complete = applyTable(it) && complete;
    }
    const bool listed = update.routers_size() > 0 || update.removed_routers_size() > 0 || update.routers_complete();
    if (listed) {
        applyGateways(update);
    }
    if (m_changeHandler && (listed || hasManifestParts || update.has_evacuations() || update.tables_size() > 0)) {
        m_changeHandler();
    }
    return complete;
}

bool FleetView::applyManifestParts(const wire::FleetUpdate &update)
{
    if (!update.compressed_manifest().empty()) {
        return applyCompressed(update.compressed_manifest());
    }
    if (update.has_manifest()) {
        applyManifest(update.manifest());
        return true;
    }
    return !update.has_manifest_change() || applyChange(update.manifest_change());
}

bool FleetView::applyCompressed(const std::string &compressed)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(update, ManifestUpdates::decompress(compressed));
            update.clear_compressed_manifest();
            return applyManifestParts(update);
        },
        [this](const Error &error) {
            logUnreadable(0, error.message);
            return true;
        });
}

void FleetView::applyManifest(const wire::ManifestDocument &document)
{
    if (document.version() <= manifestVersion()) {
        return;
    }
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(manifest, m_codec.decode(document));
            activateManifest(std::move(manifest), document);
            return {};
        },
        [&](const Error &error) { logUnreadable(document.version(), error.message); });
}

bool FleetView::applyChange(const wire::ChangeManifest &change)
{
    const auto &upsert = change.upsert();
    if (upsert.version() <= manifestVersion()) {
        return true;
    }
    if (!m_manifest || manifestVersion() < change.base_version()) {
        logUnreadable(upsert.version(),
                      fmt::format("it is a change of version {}, which this gateway does not have", change.base_version()));
        return false;
    }
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(changed, m_codec.decode(upsert));
            auto manifest = m_manifest->manifest;
            manifest.version = upsert.version();
            for (const auto &it : change.removed_routes()) {
                manifest.routes.erase(it);
            }
            for (const auto &it : change.removed_services()) {
                manifest.services.erase(it);
            }
            for (auto &[name, it] : changed.routes) {
                manifest.routes[name] = std::move(it);
            }
            for (auto &[name, it] : changed.services) {
                manifest.services[name] = std::move(it);
            }
            if (!upsert.limits().empty()) {
                manifest.limits = changed.limits;
            }
            activateManifest(std::move(manifest), upsert);
            return {};
        },
        [&](const Error &error) { logUnreadable(upsert.version(), error.message); });
    return true;
}

void FleetView::activateManifest(Manifest manifest, const wire::ManifestDocument &received)
{
    m_manifest = LoadedManifest::create(std::move(manifest));
    m_logger.write(GatewayEvents::kManifestInForce,
                   { field("version", m_manifest->manifest.version),
                     field("routes", m_manifest->manifest.routes.size()),
                     field("services", m_manifest->manifest.services.size()),
                     field("received_routes", received.routes_size()) });
}

void FleetView::logUnreadable(std::uint64_t version, const std::string &error)
{
    m_logger.write(GatewayEvents::kManifestUnreadable, { field("version", version), field("error", error) });
}

bool FleetView::applyTable(const wire::KeyTable &table)
{
    auto &current = m_tables[table.service()];
    if (table.revision() <= current.revision) {
        return true;
    }
    if (current.revision < table.base_revision()) {
        logUnreadable(table.revision(),
                      fmt::format("the key table is a change of revision {}, which this gateway does not have", table.base_revision()));
        return false;
    }
    std::vector<KeyRow> rows;
    for (const auto &it : table.rows()) {
        rows.push_back(fromWire(it));
    }
    if (table.base_revision() != 0) {
        for (const auto &it : rows) {
            current.keys.assign(it);
        }
    } else if (KeyRows::isComplete(rows)) {
        current.keys = KeyRows(std::move(rows));
    } else {
        logUnreadable(table.revision(), "the key table has gaps");
        return true;
    }
    current.revision = table.revision();
    m_logger.write(GatewayEvents::kKeyTable,
                   { field("service", table.service()), field("revision", table.revision()), field("rows", table.rows_size()) });
    return true;
}

void FleetView::applyGateways(const wire::FleetUpdate &update)
{
    if (update.routers_complete()) {
        m_gateways.clear();
    }
    for (const auto &it : update.routers()) {
        const auto &instance = it.instance();
        m_gateways[it.router()] = {
            it.router(),  it.failure_domain(), instance.service(), instance.incarnation(), instance.state() == wire::READY && !it.leaving(),
            it.leaving(), instance.slots()
        };
    }
    for (const auto &it : update.removed_routers()) {
        m_gateways.erase(it);
    }
    indexGateways();
}

void FleetView::indexGateways()
{
    m_byService.clear();
    for (const auto &[ip, gateway] : m_gateways) {
        if (!gateway.service.empty()) {
            m_byService[gateway.service].push_back(&gateway);
        }
    }
}

std::shared_ptr<const LoadedManifest> FleetView::manifest() const
{
    return m_manifest;
}

std::uint64_t FleetView::manifestVersion() const
{
    return m_manifest ? m_manifest->manifest.version : 0;
}

const ServiceSpec *FleetView::service(const std::string &name) const
{
    if (!m_manifest) {
        return nullptr;
    }
    const auto it = m_manifest->manifest.services.find(name);
    return it == m_manifest->manifest.services.end() ? nullptr : &it->second;
}

bool FleetView::isEvacuated(const std::string &failureDomain) const
{
    return m_evacuatedDomains.count(failureDomain) != 0;
}

const ListedGateway *FleetView::gateway(const std::string &ip) const
{
    const auto it = m_gateways.find(ip);
    return it == m_gateways.end() ? nullptr : &it->second;
}

const std::vector<const ListedGateway *> &FleetView::gatewaysOf(const std::string &service) const
{
    static const std::vector<const ListedGateway *> none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

const KeyRow *FleetView::holderOf(const std::string &service, std::uint32_t key) const
{
    const auto it = m_tables.find(service);
    return it == m_tables.end() || it->second.revision == 0 ? nullptr : &it->second.keys.at(key);
}

std::uint64_t FleetView::tableRevision(const std::string &service) const
{
    const auto it = m_tables.find(service);
    return it == m_tables.end() ? 0 : it->second.revision;
}

Duration FleetView::age() const
{
    return m_clock.now() - m_lastUpdate;
}

} // namespace Toucandeck
