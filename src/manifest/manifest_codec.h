#pragma once

#include "manifest/manifest.h"

#include <fleet.pb.h>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Decodes the items of a manifest document, whose format is defined by the operators' interface.
class ManifestCodec
{
public:
    virtual ~ManifestCodec() = default;

    /// Errors: InvalidArgument, naming the item and the field.
    virtual Result<Manifest> decode(const wire::ManifestDocument &document) const = 0;
};

} // namespace Toucandeck
