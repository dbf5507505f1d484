// Keeps the routes and the directory of endpoints at what the store shows.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-gateway-board.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"
#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

namespace gooseberrylift {

// Writes the section routes_. The highest version ever seen stays in force,
// whatever comes later. Holds the lease that says for how long keys may be
// believed.
class RouteFollower
{
public:
  RouteFollower(const WireDialect& aDialect, GatewayBoard& aBoard);

  /// Takes in a change of the kind of objects that holds the routes.
  void OnEvent(const StoreEvent& aEvent);

  /// Notes that the routes show all changes from before a time.
  void OnProof(BootTime aBegan);

  /// Says whether a caller's key may be believed now.
  bool AreKeysProven();

  /// Gives the age of the last proof; nothing without one.
  std::optional<std::chrono::milliseconds> ProofAge();

private:
  const WireDialect& dialect_;
  GatewayBoard& board_;
  std::string refusedVersion_; // of the document that was last refused
  std::string seenVersion_;    // of the document that was last taken in
  std::mutex leaseMutex_;      // guards what follows
  FreshnessLease lease_{ FreshnessLease::Options{} };
  bool proven_ = false; // as last logged
};

// Feeds the fleet's directory.
class EndpointFollower
{
public:
  EndpointFollower(const WireDialect& aDialect, Fleet& aFleet);

  /// Takes in a change of an endpoint's entry.
  void OnEvent(const StoreEvent& aEvent);

  /// Handles the start or the end of an availability zone's evacuation.
  void OnEvacuation(const StoreEvent& aEvent);

  /// Notes that the store was away for a while: entries that are missing now
  /// may have lapsed though their endpoints live.
  void OnStoreReturned();

private:
  std::optional<ListedEndpoint> Read(const StoreObject& aObject);

  const WireDialect& dialect_;
  Fleet& fleet_;
  std::map<std::string, std::string> refused_; // versions, by entry
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_
