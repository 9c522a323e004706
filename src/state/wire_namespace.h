#pragma once

#include "state.pb.h"

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

} // namespace Toucandeck
