#pragma once

#include "ownership/placement.h"

namespace Toucandeck
{

/// Placement with bounded loads: no receiver gets more than ceil(1.1 x its fair share by weight), unless a partition would otherwise
/// have no owner. Moves only partitions that exceed the bound or belong to an instance that may not own them, so that the number of
/// moves is minimal.
class BoundedLoadPlacement : public Placement
{
public:
    std::vector<PlacementChange> plan(const PlacementInput &input) const override;

    /// Maximum number of partitions of each receiver, in the order of the input; 0 for receivers that may not own partitions.
    static std::vector<std::uint32_t> bounds(const PlacementInput &input);
};

} // namespace Toucandeck
