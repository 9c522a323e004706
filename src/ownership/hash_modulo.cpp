#include "ownership/hash_modulo.h"

#include "ownership/placement_tally.h"

namespace Toucandeck
{

std::vector<PlacementChange> HashModuloPlacement::plan(const PlacementInput &input) const
{
    std::vector<std::size_t> owners;
    for (std::size_t i = 0; i < input.receivers.size(); ++i) {
        if (internal::isEligibleOwner(input.receivers[i])) {
            owners.push_back(i);
        }
    }
    std::vector<PlacementChange> changes;
    internal::PlacementTally tally(input);
    for (std::size_t i = 0; i < input.partitions.size() && !owners.empty(); ++i) {
        const auto &partition = input.partitions[i];
        const auto to = owners[i % owners.size()];
        const auto target = input.receivers[to].session;
        if (partition.isBlocked || partition.movingTo || partition.owner == target || !input.receivers[to].mayReceive) {
            continue;
        }
        if (partition.owner && !tally.mayBeginMoveTo(to)) {
            continue;
        }
        if (partition.owner) {
            tally.addMove(tally.indexOf(partition.owner), to);
        }
        changes.push_back({ PartitionId{ static_cast<std::uint32_t>(i) }, partition.owner, target });
    }
    return changes;
}

} // namespace Toucandeck
