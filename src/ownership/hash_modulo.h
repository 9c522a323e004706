#pragma once

#include "ownership/placement.h"

namespace Toucandeck
{

/// Naive baseline: partition modulo the number of receivers. A change of the number of receivers moves most partitions.
class HashModuloPlacement : public Placement
{
public:
    std::vector<PlacementChange> plan(const PlacementInput &input) const override;
};

} // namespace Toucandeck
