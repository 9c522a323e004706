#pragma once

namespace Toucandeck
{

/// Raises the soft limit on file descriptors, which is often 1024, to the hard limit, because it bounds the number of connections.
void raiseDescriptorLimit();

} // namespace Toucandeck
