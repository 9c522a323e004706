#include "fleet/manifest_history.h"

namespace Toucandeck
{

namespace
{

/// Removed items that are remembered; a receiver that lags by more is sent the whole manifest.
constexpr std::size_t kRemovedKept = 4096;

using Items = google::protobuf::Map<std::string, std::string>;

void fillChanged(const std::map<std::string, std::uint64_t> &changed, std::uint64_t since, const Items &items, Items &out)
{
    for (const auto &[name, version] : changed) {
        if (version > since) {
            out[name] = items.at(name);
        }
    }
}

void fillRemoved(const std::map<std::string, std::uint64_t> &removed,
                 std::uint64_t since,
                 google::protobuf::RepeatedPtrField<std::string> &out)
{
    for (const auto &[name, version] : removed) {
        if (version > since) {
            out.Add(std::string(name));
        }
    }
}

} // namespace

void ManifestHistory::noteItems(const Items &before, const Items &after, std::uint64_t version, Versions &changed, Versions &removed)
{
    for (const auto &[name, item] : after) {
        const auto old = before.find(name);
        if (old == before.end() || old->second != item) {
            changed[name] = version;
            removed.erase(name);
        }
    }
    for (const auto &[name, item] : before) {
        if (after.count(name) == 0) {
            changed.erase(name);
            removed[name] = version;
        }
    }
}

void ManifestHistory::update(const wire::ManifestDocument &document)
{
    const auto version = document.version();
    if (version == m_document.version()) {
        return;
    }
    const bool forget = m_removedRoutes.size() + m_removedServices.size() > kRemovedKept;
    if (m_knownSince == 0 || forget) {
        m_knownSince = version;
        m_routes.clear();
        m_services.clear();
        m_removedRoutes.clear();
        m_removedServices.clear();
        m_limitsChanged = 0;
    } else {
        noteItems(m_document.routes(), document.routes(), version, m_routes, m_removedRoutes);
        noteItems(m_document.services(), document.services(), version, m_services, m_removedServices);
        m_limitsChanged = m_document.limits() == document.limits() ? m_limitsChanged : version;
    }
    m_document = document;
}

std::optional<wire::ChangeManifest> ManifestHistory::changesSince(std::uint64_t version) const
{
    if (version == 0 || version < m_knownSince) {
        return std::nullopt;
    }
    wire::ChangeManifest change;
    change.set_base_version(version);
    auto &upsert = *change.mutable_upsert();
    upsert.set_version(m_document.version());
    fillChanged(m_routes, version, m_document.routes(), *upsert.mutable_routes());
    fillChanged(m_services, version, m_document.services(), *upsert.mutable_services());
    fillRemoved(m_removedRoutes, version, *change.mutable_removed_routes());
    fillRemoved(m_removedServices, version, *change.mutable_removed_services());
    if (m_limitsChanged > version) {
        upsert.set_limits(m_document.limits());
    }
    return change;
}

} // namespace Toucandeck
