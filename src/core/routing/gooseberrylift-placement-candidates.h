// What the placements of engines and of plain services share.

#ifndef GOOSEBERRYLIFT_CORE_ROUTING_GOOSEBERRYLIFT_PLACEMENT_CANDIDATES_H_
#define GOOSEBERRYLIFT_CORE_ROUTING_GOOSEBERRYLIFT_PLACEMENT_CANDIDATES_H_

#include <chrono>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"

namespace gooseberrylift {

/// Gives a time multiplied by a factor.
std::chrono::microseconds Scaled(std::chrono::microseconds aTime,
                                 double aFactor);

/// Gives those that were not tried and are not set aside; when there is none,
/// those that were not tried; when there is none of these, all.
std::vector<const PlacementCandidate*> BestOf(
  const std::vector<PlacementCandidate>& aCandidates);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_CORE_ROUTING_GOOSEBERRYLIFT_PLACEMENT_CANDIDATES_H_
