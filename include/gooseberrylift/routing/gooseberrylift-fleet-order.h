// Order in which a host considers the engines of a service. It keeps hosts that
// receive each other's load messages with a delay from filling the same
// engines.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_ORDER_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

namespace gooseberrylift {

struct FleetOrderOptions
{
  // Number of engines in a block. All hosts divide the engines into the same
  // blocks but order each block differently, so that two hosts rarely choose
  // the same engine before they have received each other's load. With larger
  // blocks, long prompts of one host meet short requests of others in the
  // blocks where the two lanes join.
  std::size_t block_ = 3;
};

/// Returns endpoints in the order of a host.
/// @param aEndpoints in any order
/// @param aHost name of the host
std::vector<ListedEndpoint> OrderForHost(std::vector<ListedEndpoint> aEndpoints,
                                         const std::string& aHost,
                                         FleetOrderOptions aOptions);

/// Returns endpoints in a pseudo-random order.
/// @param aRandom seed of the order
std::vector<ListedEndpoint> ShuffleEndpoints(
  std::vector<ListedEndpoint> aEndpoints,
  std::uint64_t aRandom);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_ORDER_H_
