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

#include "gooseberrylift/membership/gooseberrylift-load-message.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"
#include "gooseberrylift/routing/gooseberrylift-outlier-detector.h"

namespace gooseberrylift {

// An endpoint that became slow, or is no longer slow.
struct PaceChange
{
  std::string endpoint_;
  bool isSlow_ = false;
  int percent_ = 0; // its pace; when it ended, the last one
};

// What this host knows about the endpoints of one service.
struct ServiceLoad
{
  FleetLoad load_{ FleetLoad::Options{} };
  OutlierDetector outlierDetector_{ OutlierDetector::Options{} };
  // Of a request to a plain service; assumed until the first answer arrives.
  std::chrono::microseconds typicalDuration_{ 20'000 };
  // Pace in percent of the endpoints that were slow at the last sweep.
  std::map<std::string, int> slow_;

  /// Returns whether an endpoint fails, or has sent nothing to this host's
  /// requests for longer than any engine pass takes.
  bool IsAvoided(const std::string& aEndpoint, TimePoint aNow) const;

  /// Records how a request ended at an endpoint.
  void OnOutcome(const std::string& aEndpoint,
                 EndpointOutcome aOutcome,
                 std::chrono::microseconds aDuration,
                 TimePoint aNow);

  /// Removes expired records; to be called periodically.
  /// @param aChanges receives the endpoints that became slow or are no longer
  void Sweep(TimePoint aNow, std::vector<PaceChange>& aChanges);

  /// Discards the load, silence and failures of an endpoint's previous
  /// incarnation. Otherwise the restarted endpoint would be avoided although it
  /// is idle.
  void OnRestarted(const std::string& aEndpoint);
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
  /// @return the endpoints that became slow or are no longer
  std::vector<PaceChange> Sweep(TimePoint aNow);

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
