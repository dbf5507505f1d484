// The order in which a host looks at the engines of a service. The load it
// answers: hosts that fill the same engines and hear of each other's requests
// a moment late.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_ORDER_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

namespace gooseberrylift {

struct FleetOrderOptions
{
  // Engines in a block. All hosts stand them in the same blocks; inside one
  // each host has an order of its own, so that two hosts seldom take the same
  // engine until they have heard of each other. With larger ones a host's
  // long prompts meet the short requests of others in the blocks where the
  // two lanes join.
  std::size_t block_ = 3;
};

/// Puts engines in a host's order.
/// @param aEndpoints in any order
/// @param aHost the host's name
std::vector<ListedEndpoint> OrderForHost(std::vector<ListedEndpoint> aEndpoints,
                                         const std::string& aHost,
                                         FleetOrderOptions aOptions);

/// Puts endpoints in an order that is new for each draw.
std::vector<ListedEndpoint> OrderByDraw(std::vector<ListedEndpoint> aEndpoints,
                                        std::uint64_t aDraw);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_ORDER_H_
