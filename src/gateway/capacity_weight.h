#pragma once

#include "gateway/gateway_chooser.h"

namespace Toucandeck
{

/// Weight with which a gateway is drawn for the comparison: the capacity of its backend server, lowered by what makes an answer slow or
/// unlikely. Gateways of the own failure domain weigh more, since traffic between failure domains has a price.
double capacityWeight(const GatewayCandidate &candidate);

/// Longest queueing delay with which the chosen gateway is still better than the next best, in spite of the detour.
/// @param bodyBytes size of the request's body, which a detour sends twice.
Duration longestUsefulWait(const std::vector<GatewayCandidate> &candidates, std::size_t choice, std::size_t bodyBytes);

} // namespace Toucandeck
