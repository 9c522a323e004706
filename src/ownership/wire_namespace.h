#pragma once

#include "envelope.pb.h"

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

} // namespace Toucandeck
