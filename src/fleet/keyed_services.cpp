#include "fleet/keyed_services.h"

#include "fleet/events.h"

namespace Toucandeck
{

KeyedServices::KeyedServices(const ManifestCodec &codec, Logger &logger)
    : m_codec(codec)
    , m_logger(logger)
{
}

void KeyedServices::update(const wire::ManifestDocument &document)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(manifest, m_codec.decode(document));
            m_names.clear();
            for (const auto &[name, service] : manifest.services) {
                if (service.keyed) {
                    m_names.push_back(name);
                }
            }
            return {};
        },
        [&](const Error &error) {
            m_logger.write(FleetEvents::kManifestUnreadable, { field("version", document.version()), field("error", error.message) });
        });
}

const std::vector<std::string> &KeyedServices::names() const
{
    return m_names;
}

} // namespace Toucandeck
