// Keeps the load and the health of the endpoints of each service, from this
// host's own requests and its peers' load messages.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SERVICE_LOADS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SERVICE_LOADS_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/limits/gooseberrylift-replacement-pacer.h"
#include "gooseberrylift/membership/gooseberrylift-load-message.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-pressure.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"
#include "gooseberrylift/routing/gooseberrylift-outlier-detector.h"

namespace gooseberrylift {

// What this host knows about the endpoints of one service.
struct ServiceLoad
{
  FleetLoad load_{ FleetLoad::Options{} };
  OutlierDetector outlierDetector_{ OutlierDetector::Options{} };
  EndpointPressure pressure_{ EndpointPressure::Options{} };
  bool hasTraffic_ = false;       // a request of this host has ended
  ReplacementPacer replacements_; // of stalled attempts
  // Of a request to a plain service; assumed until the first answer arrives.
  std::chrono::microseconds typicalDuration_{ 20'000 };

  /// Returns whether an endpoint fails, or has sent nothing to this host's
  /// requests for longer than any engine pass takes.
  bool IsAvoided(const std::string& aEndpoint, TimePoint aNow) const;

  /// Records how a request ended at an endpoint.
  void OnOutcome(const std::string& aEndpoint,
                 EndpointOutcome aOutcome,
                 std::chrono::microseconds aDuration,
                 TimePoint aNow);

  /// Discards the load, silence and failures of an endpoint's previous
  /// incarnation. Otherwise the restarted endpoint would be avoided although it
  /// is idle.
  void OnRestarted(const std::string& aEndpoint, TimePoint aNow);

  /// Records that an endpoint may receive requests, or may again. Without
  /// traffic all endpoints are equal, and nothing is recorded.
  void OnReturned(const std::string& aEndpoint, TimePoint aNow);
};

// Each service has its own lock. Thread-safe.
class ServiceLoads
{
public:
  // Returns the service of an endpoint; empty if it is not listed.
  using ServiceOf = std::function<std::string(const std::string& aEndpoint)>;

  explicit ServiceLoads(ServiceOf aServiceOf)
    : serviceOf_(std::move(aServiceOf))
  {
  }

  /// Calls a function with the load of a service while holding its lock.
  /// @return the function's result
  template<typename Use>
  auto With(const std::string& aService, const Use& aUse)
  {
    Shard& shard = ShardOf(aService);
    const std::lock_guard lock(shard.mutex_);
    return aUse(shard.state_);
  }

  /// Records that an endpoint rejected a request as full, without a backoff.
  /// @return whether it was not known to be full
  bool OnRejected(const ListedEndpoint& aEndpoint,
                  TimePoint aSentAt,
                  TimePoint aNow);

  /// Records that an endpoint asked this host for a backoff.
  void OnBackoff(const ListedEndpoint& aEndpoint,
                 std::chrono::milliseconds aDuration,
                 TimePoint aNow);

  /// Records that endpoints may receive requests again.
  void OnReturned(const std::vector<ListedEndpoint>& aEndpoints,
                  TimePoint aNow);

  /// Applies a load message.
  /// @param aPeer the name under which the message's load is stored
  void OnLoadMessage(const std::string& aPeer,
                     const LoadMessage& aMessage,
                     TimePoint aNow);

  /// Returns the load of this host and of the given hosts, summed by endpoint.
  std::vector<EndpointShare> SumSharesOf(const std::set<std::string>& aHosts,
                                         TimePoint aNow);

  /// Returns the load of this host's own requests, to be sent to its peers.
  std::vector<EndpointShare> OwnShares(TimePoint aNow);

  /// Returns the load of this host's own requests at the given endpoints.
  std::vector<EndpointShare> OwnSharesAt(
    const std::vector<ListedEndpoint>& aEndpoints,
    TimePoint aNow);

  /// Removes expired records; to be called periodically.
  void Sweep(TimePoint aNow);

private:
  struct Shard
  {
    std::mutex mutex_;
    ServiceLoad state_;
  };
  using SharesByService = std::map<std::string, std::vector<EndpointShare>>;

  Shard& ShardOf(const std::string& aService);
  SharesByService GroupByService(const std::vector<EndpointShare>& aShares);
  template<typename Use>
  void ForEach(const Use& aUse)
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [service, shard] : shards_) {
      const std::lock_guard shardLock(shard->mutex_);
      aUse(service, shard->state_);
    }
  }

  ServiceOf serviceOf_;
  std::mutex mutex_; // guards the map; each shard has its own lock
  std::map<std::string, std::unique_ptr<Shard>> shards_; // by service
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SERVICE_LOADS_H_
