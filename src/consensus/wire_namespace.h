#pragma once

#include <replica.pb.h>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

} // namespace Toucandeck
