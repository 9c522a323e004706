#pragma once

#include <peer.pb.h>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// What is recorded of a backend server when its gateway announces it.
///
/// A process that leaves never serves again. A gateway that was restarted does not know that it leaves, first announces no backend server,
/// and then takes a late heartbeat from before for the present state.
/// @param recorded state before the announcement.
wire::InstanceReport recordedInstance(const wire::InstanceReport &recorded, const wire::InstanceReport &announced);

} // namespace Toucandeck
