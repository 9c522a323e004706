#pragma once

#include "ownership/placement.h"

namespace Toucandeck
{

/// Bounded load: no receiver gets more than ceil(1.1 x its fair share by weight); moves only what breaks this bound or sits on an
/// instance that may not own, so that the number of moves is the least possible.
class BoundedLoadPlacement : public Placement
{
public:
    std::vector<PlacementChange> plan(const PlacementInput &input) const override;

    /// Most partitions for each receiver, in the order of the input; 0 for those that may not own.
    static std::vector<std::uint32_t> bounds(const PlacementInput &input);
};

} // namespace Toucandeck
