// Functions shared by the placements on engines and on plain services.

#ifndef GOOSEBERRYLIFT_CORE_ROUTING_GOOSEBERRYLIFT_PLACEMENT_CANDIDATES_H_
#define GOOSEBERRYLIFT_CORE_ROUTING_GOOSEBERRYLIFT_PLACEMENT_CANDIDATES_H_

#include <chrono>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"

namespace gooseberrylift {

/// Returns a time multiplied by a factor.
std::chrono::microseconds Scaled(std::chrono::microseconds aTime,
                                 double aFactor);

/// Returns the candidates of the best class that is not empty: neither tried
/// nor set aside, then not tried, then all others.
std::vector<const PlacementCandidate*> PreferredCandidates(
  const std::vector<PlacementCandidate>& aCandidates);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_CORE_ROUTING_GOOSEBERRYLIFT_PLACEMENT_CANDIDATES_H_
