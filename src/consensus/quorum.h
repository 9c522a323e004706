#pragma once

#include "consensus/membership.h"

#include <functional>

namespace Toucandeck::internal
{

/// True if the voters that agree are a majority and, where the voters are in two or more failure domains, are themselves in
/// at least two. Any two quorums share a voter because each is a majority.
bool isQuorum(const Membership &membership, const std::function<bool(ReplicaId)> &agrees);

} // namespace Toucandeck::internal
