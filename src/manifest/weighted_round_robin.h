#pragma once

#include "manifest/manifest.h"

#include "common/random_source.h"

#include <map>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Selects the target of each request of a route, so that each target receives its share by weight over short intervals too.
///
/// A target of weight w is selected by each request that the targets before it left over, if its phase passes 1; each such request advances
/// the phase by the share of w in the weights from this target on. A phase is a fraction of one selection and has the same meaning
/// for all weights, so it is kept when weights change. It starts at random: targets would otherwise not get their share at many gateways
/// that start together, or while the targets of a route change often.
class WeightedRoundRobin
{
public:
    /// @param random must outlive the object.
    explicit WeightedRoundRobin(RandomSource &random);

    /// Selects the service for the next request of the route; never one of weight 0.
    const std::string &next(const Route &route);

    /// Forgets the routes that are not in the manifest.
    void retain(const Manifest &manifest);

    /// Number of routes of which phases are known.
    std::size_t size() const;

private:
    struct Part
    {
        std::string service;
        double phase = 0; ///< At least 0 and below 1.
    };

    using Parts = std::vector<Part>; ///< In the order of the targets.

    static bool matches(const Parts &parts, const std::vector<RouteTarget> &targets);
    /// Parts for the targets, with the phases of those that were targets before.
    Parts carryOver(Parts before, const std::vector<RouteTarget> &targets);

    RandomSource &m_random;
    std::map<std::string, Parts> m_parts; ///< By route name.
};

} // namespace Toucandeck
