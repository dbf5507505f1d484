// Chooses the endpoint for one request. Strategies are small objects, chosen
// by the pool's field "placement", so that the baselines run through the same
// code as what is meant to beat them.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_PLACEMENT_STRATEGY_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_PLACEMENT_STRATEGY_H_

#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint-slot.h"

namespace gooseberrylift {

// One request's view of the pool.
struct PlacementQuery
{
  const RequestInfo& info_;
  std::chrono::microseconds cost_; // of its prefill
  bool long_ = false;              // belongs to the lane of long prompts
  TimePoint now_;
};

// Says whether an endpoint may take the request at all.
using Eligible = std::function<bool(const EndpointSlot& aSlot)>;

class PlacementStrategy
{
public:
  virtual ~PlacementStrategy() = default;

  /// Chooses an endpoint that takes the request now.
  /// @return null when the request should wait at this host
  virtual EndpointSlot* Choose(const PlacementQuery& aQuery,
                               std::span<EndpointSlot* const> aSlots,
                               const Eligible& aEligible) = 0;
};

// What the names stand for.
struct PlacementKind
{
  std::string_view name_;
  std::string_view meaning_;
  bool fair_; // with the fair queue, admission, lanes and health
};

/// Lists the known names.
std::span<const PlacementKind> PlacementKinds();

/// Finds a kind by name; null when it is unknown.
const PlacementKind* FindPlacement(std::string_view aName);

/// Makes a strategy.
/// @param aName one of PlacementKinds
/// @param aZone this host's availability zone
/// @param aSeed of the sampling
std::unique_ptr<PlacementStrategy> MakePlacement(std::string_view aName,
                                                 std::string aZone,
                                                 std::uint64_t aSeed);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_PLACEMENT_STRATEGY_H_
