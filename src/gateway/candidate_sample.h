#pragma once

#include "gateway/fleet_view.h"

#include "common/random_source.h"

namespace Toucandeck
{

/// Number of gateways that are compared for one call.
inline constexpr std::size_t kSampledGateways = 8;

/// Draws a random sample of the gateways eligible for a call. Most are in the own failure domain, since traffic between failure domains
/// is slower and has a price; some are in others, so that load can move out of a busy domain. Comparing all gateways of a large service
/// for each call would use a considerable share of a small VM's processor time.
std::vector<const ListedGateway *>
sampleGateways(std::vector<const ListedGateway *> eligible, const std::string &ownDomain, RandomSource &random);

} // namespace Toucandeck
