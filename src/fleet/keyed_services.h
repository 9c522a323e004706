#pragma once

#include "log/logger.h"
#include "manifest/manifest_codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Names of the services that are divided by key, according to the manifest in force.
class KeyedServices
{
public:
    /// All references must outlive this object.
    KeyedServices(const ManifestCodec &codec, Logger &logger);

    /// Reads the manifest in force. If it cannot be decoded, the names remain as they are and an event is logged.
    void update(const wire::ManifestDocument &document);

    const std::vector<std::string> &names() const;

private:
    const ManifestCodec &m_codec;
    Logger &m_logger;
    std::vector<std::string> m_names;
};

} // namespace Toucandeck
