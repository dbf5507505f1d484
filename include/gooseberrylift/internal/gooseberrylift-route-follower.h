// Keeps the routes and the endpoint directory in sync with the store.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-gateway-board.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-store-follower.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"
#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

namespace gooseberrylift {

// Writes the section routes_ of the board. The highest version ever seen stays
// in force, even if an older one arrives later. Holds the lease that limits how
// long callers' keys are accepted without a new proof that they were not
// revoked.
class RouteFollower
{
public:
  RouteFollower(const WireDialect& aDialect, GatewayBoard& aBoard);

  /// Handles a changed object of the kind that holds the routes.
  void OnEvent(const StoreEvent& aEvent);

  /// Renews the lease: the routes include all changes made before aReadStart.
  void OnProof(BootTime aReadStart);

  /// Returns whether callers' keys may be accepted now; always true unless
  /// strict revocation is configured.
  bool AreKeysProven();

  /// Returns the age of the last proof, or nothing if there is none.
  std::optional<std::chrono::milliseconds> ProofAge();

private:
  const WireDialect& dialect_;
  GatewayBoard& board_;
  std::string rejectedVersion_; // of the last invalid document
  std::string decodedVersion_;  // of the last valid document
  std::mutex leaseMutex_;       // guards the members below
  FreshnessLease lease_{ FreshnessLease::Options{} };
  bool loggedProven_ = false;
};

// Applies endpoint and evacuation objects to the fleet's directory.
class EndpointFollower
{
public:
  EndpointFollower(const WireDialect& aDialect,
                   Fleet& aFleet,
                   Metrics& aMetrics);

  /// Applies changed and deleted endpoint entries.
  void OnUpdate(const ViewUpdate& aUpdate, const EndpointUpdateSource& aSource);

  /// Handles a list of endpoints that became late, or current again.
  void OnListLate(bool aLate, const StoreStatus& aStatus);

  /// Handles the start or the end of an availability zone's evacuation.
  void OnEvacuation(const StoreEvent& aEvent);

  /// Handles the end of a store outage: entries that are missing now may have
  /// expired although their endpoints are alive.
  /// @param aGap between the reads before and after the outage
  void OnStoreReturned(std::chrono::milliseconds aGap);

private:
  enum class EntryState
  {
    kLive,
    kLeaving,
    kGone
  };

  EntryState OnChanged(const StoreObject& aObject);
  void OnRemoved(const std::string& aName);
  std::optional<ListedEndpoint> Read(const StoreObject& aObject);

  const WireDialect& dialect_;
  Fleet& fleet_;
  Metrics& metrics_;
  std::map<std::string, std::string>
    rejectedVersions_; // versions of invalid entries, by name
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_
