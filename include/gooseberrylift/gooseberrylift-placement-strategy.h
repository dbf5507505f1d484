// Strategies that choose the endpoint for a request. The pool's field
// "placement" selects one, so that the baselines run through the same code as
// the adaptive strategy that is compared with them.

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

// The request to place.
struct PlacementQuery
{
  const RequestInfo& info_;
  std::chrono::microseconds cost_; // predicted prefill time
  bool isLong_ = false;            // belongs to the lane for long prompts
  TimePoint now_;
};

// Returns whether an endpoint may take the request at all.
using EligibilityFilter = std::function<bool(const EndpointSlot& aSlot)>;

// Interface of the placement strategies.
class PlacementStrategy
{
public:
  virtual ~PlacementStrategy() = default;

  /// Chooses an endpoint to send the request to now.
  /// @return null if the request should wait in the queue of this host
  virtual EndpointSlot* Choose(const PlacementQuery& aQuery,
                               std::span<EndpointSlot* const> aSlots,
                               const EligibilityFilter& aEligible) = 0;
};

// A value of the field "placement".
struct PlacementKind
{
  std::string_view name_;
  std::string_view description_;
  bool adaptive_; // uses the fair queue, admission, lanes, health
};

/// Returns all known kinds.
std::span<const PlacementKind> PlacementKinds();

/// Finds a kind by name; null if unknown.
const PlacementKind* FindPlacement(std::string_view aName);

/// Creates a strategy.
/// @param aName one of PlacementKinds
/// @param aZone this host's availability zone
/// @param aSeed the seed for sampling
std::unique_ptr<PlacementStrategy> MakePlacement(std::string_view aName,
                                                 std::string aZone,
                                                 std::uint64_t aSeed);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_PLACEMENT_STRATEGY_H_
