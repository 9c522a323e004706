#pragma once

#include "consensus/membership.h"

#include <functional>

namespace Toucandeck::internal
{

/// True if the voters for which @p agrees returns true are a majority and, if all voters span two or more failure domains, span at
/// least two. Any two quorums share a voter because each is a majority.
bool isQuorum(const Membership &membership, const std::function<bool(ReplicaId)> &agrees);

} // namespace Toucandeck::internal
