#pragma once

#include <cstdint>
#include <vector>

namespace Toucandeck::Standin
{

/// Ports on 127.0.0.1 without a listener.
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace Toucandeck::Standin
