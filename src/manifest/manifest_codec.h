#pragma once

#include "manifest/manifest.h"

#include <fleet.pb.h>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Reads the items of a manifest document, whose format belongs to the operators' side.
class ManifestCodec
{
public:
    virtual ~ManifestCodec() = default;

    /// Errors: InvalidArgument, naming the item and the field.
    virtual Result<Manifest> decode(const wire::ManifestDocument &document) const = 0;
};

} // namespace Toucandeck
