#pragma once

#include "gateway/fleet_view.h"

#include "common/random_source.h"

namespace Toucandeck
{

/// Gateways that are compared for one call.
inline constexpr std::size_t kSampledGateways = 8;

/// Draws the gateways to compare from those that could run a call: mostly of the own failure domain, since traffic between failure
/// domains is slower and has a price, and some of the others, so that work leaves a domain that is busy. Describing all gateways of a
/// large service for each call would take a good part of a small VM's processor.
std::vector<const ListedGateway *>
sampleGateways(std::vector<const ListedGateway *> open, const std::string &ownDomain, RandomSource &random);

} // namespace Toucandeck
