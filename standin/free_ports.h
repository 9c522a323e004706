#pragma once

#include <cstdint>
#include <vector>

namespace Toucandeck::Standin
{

/// Ports on 127.0.0.1 that nobody listens on now.
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace Toucandeck::Standin
