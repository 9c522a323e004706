#include "fleet/manifest_services.h"

#include "fleet/events.h"

namespace Toucandeck
{

ManifestServices::ManifestServices(const ManifestCodec &codec, Logger &logger)
    : m_codec(codec)
    , m_logger(logger)
{
}

void ManifestServices::update(const wire::ManifestDocument &document)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(manifest, m_codec.decode(document));
            m_names.clear();
            m_keyed.clear();
            for (const auto &[name, service] : manifest.services) {
                m_names.insert(name);
                if (service.keyed) {
                    m_keyed.push_back(name);
                }
            }
            return {};
        },
        [&](const Error &error) {
            m_logger.write(FleetEvents::kManifestUnreadable, { field("version", document.version()), field("error", error.message) });
        });
}

bool ManifestServices::contains(const std::string &service) const
{
    return m_names.count(service) != 0;
}

const std::vector<std::string> &ManifestServices::keyed() const
{
    return m_keyed;
}

} // namespace Toucandeck
