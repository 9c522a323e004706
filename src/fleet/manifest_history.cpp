#include "fleet/manifest_history.h"

namespace Toucandeck
{

namespace
{

/// Number of removed items to record. Beyond it the history restarts, and receivers with earlier versions are sent the whole manifest.
constexpr std::size_t kMaxRemovedItems = 4096;

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

void ManifestHistory::recordChanges(const Items &before, const Items &after, std::uint64_t version, Versions &changed, Versions &removed)
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

void ManifestHistory::restartAt(std::uint64_t version)
{
    m_historyStart = version;
    m_routeVersions.clear();
    m_serviceVersions.clear();
    m_removedRouteVersions.clear();
    m_removedServiceVersions.clear();
    m_limitsVersion = 0;
}

void ManifestHistory::update(const wire::ManifestDocument &document, std::uint64_t baseVersion)
{
    const auto version = document.version();
    if (version == m_document.version()) {
        return;
    }
    const bool isFull = m_removedRouteVersions.size() + m_removedServiceVersions.size() > kMaxRemovedItems;
    const bool follows = m_document.version() != 0 && m_document.version() == baseVersion;
    if (!follows || isFull) {
        restartAt(version);
    } else {
        recordChanges(m_document.routes(), document.routes(), version, m_routeVersions, m_removedRouteVersions);
        recordChanges(m_document.services(), document.services(), version, m_serviceVersions, m_removedServiceVersions);
        m_limitsVersion = m_document.limits() == document.limits() ? m_limitsVersion : version;
    }
    m_document = document;
}

const wire::ManifestDocument &ManifestHistory::document() const
{
    return m_document;
}

std::optional<wire::ChangeManifest> ManifestHistory::changesSince(std::uint64_t version) const
{
    if (version == 0 || version < m_historyStart) {
        return std::nullopt;
    }
    wire::ChangeManifest change;
    change.set_base_version(version);
    auto &upsert = *change.mutable_upsert();
    upsert.set_version(m_document.version());
    fillChanged(m_routeVersions, version, m_document.routes(), *upsert.mutable_routes());
    fillChanged(m_serviceVersions, version, m_document.services(), *upsert.mutable_services());
    fillRemoved(m_removedRouteVersions, version, *change.mutable_removed_routes());
    fillRemoved(m_removedServiceVersions, version, *change.mutable_removed_services());
    if (m_limitsVersion > version) {
        upsert.set_limits(m_document.limits());
    }
    return change;
}

} // namespace Toucandeck
