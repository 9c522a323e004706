#pragma once

#include "log/logger.h"
#include "manifest/manifest_codec.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Names of the services in the manifest in force, and which of them are divided by key.
class ManifestServices
{
public:
    /// All references must outlive this object.
    ManifestServices(const ManifestCodec &codec, Logger &logger);

    /// Reads the manifest in force. If it cannot be decoded, the names remain as they are and an event is logged.
    void update(const wire::ManifestDocument &document);

    bool contains(const std::string &service) const;
    /// Names of the services that are divided by key.
    const std::vector<std::string> &keyed() const;

private:
    const ManifestCodec &m_codec;
    Logger &m_logger;
    std::set<std::string> m_names;
    std::vector<std::string> m_keyed;
};

} // namespace Toucandeck
