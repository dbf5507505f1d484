// Keeps the routes and the directory of endpoints at what the store shows.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-gateway-board.h"
#include "gooseberrylift/internal/gooseberrylift-kind-follower.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"

namespace gooseberrylift {

// Writes the sections routes_ and store_. The highest version ever seen stays
// in force, whatever comes later. Holds the lease that says for how long keys
// may be believed.
class RouteFollower
{
public:
  RouteFollower(ObjectStore& aStore,
                StoreRelay& aRelay,
                const WireDialect& aDialect,
                GatewayBoard& aBoard,
                std::uint64_t aSeed);

  /// Follows until cancelled.
  boost::asio::awaitable<void> Run() { return follower_.Run(); }

  /// Says whether a caller's key may be believed now.
  bool KeysAreProven();

  /// Gives the age of the last proof; nothing without one.
  std::optional<std::chrono::milliseconds> ProofAge();

private:
  void Offer(const StoreObject& aObject);
  void OnProof(BootTime aBegan);
  void OnStore(bool aReachable);

  const WireDialect& dialect_;
  GatewayBoard& board_;
  std::string refusedVersion_; // of the document that was last refused
  std::string seenVersion_;    // of the document that was last taken in
  std::mutex leaseMutex_;      // guards what follows
  FreshnessLease lease_{ FreshnessLease::Options{} };
  bool proven_ = false; // as last logged
  KindFollower follower_;
};

// Feeds the fleet's directory.
class EndpointFollower
{
public:
  EndpointFollower(ObjectStore& aStore,
                   StoreRelay& aRelay,
                   const WireDialect& aDialect,
                   Fleet& aFleet,
                   std::uint64_t aSeed);

  /// Follows until cancelled.
  boost::asio::awaitable<void> Run() { return follower_.Run(); }

private:
  std::optional<ListedEndpoint> Read(const StoreObject& aObject);
  void OnList(const std::vector<StoreObject>& aObjects);
  void OnEvent(const StoreEvent& aEvent);
  void OnStore(bool aReachable);
  void OnSteady(std::chrono::milliseconds aFor);

  const WireDialect& dialect_;
  Fleet& fleet_;
  std::map<std::string, std::string> refused_; // versions, by entry
  bool lost_ = false;
  KindFollower follower_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ROUTE_FOLLOWER_H_
