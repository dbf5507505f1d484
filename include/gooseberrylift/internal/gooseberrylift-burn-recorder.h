// Records finished requests for this host's report of error budget burn.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BURN_RECORDER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BURN_RECORDER_H_

#include <array>
#include <mutex>
#include <optional>
#include <string>

#include "gooseberrylift/gooseberrylift-burn-document.h"
#include "gooseberrylift/internal/gooseberrylift-admin-api.h"

namespace gooseberrylift {

// Sharded by team and service, each shard with its own lock. All samples of a
// series are in one shard, so the memory limit of BurnCounters holds.
// Thread-safe.
class BurnRecorder
{
public:
  struct Parts
  {
    const Settings& settings_;
    Blackboard& board_;
    Metrics& metrics_;
  };

  explicit BurnRecorder(Parts aParts);

  /// Counts a finished request, if its service has an objective and its result
  /// is not an error of the caller.
  /// @param aService the service's configuration
  /// @param aSample the request; succeeded_ is set here
  /// @param aCode the request's result code
  void Record(const ServiceConfig& aService,
              BurnSample aSample,
              ResultCode aCode);

  /// Returns this host's counts.
  BurnDocument Document() const;

  /// Adds the route GET /report/burn to the admin port.
  void AddRoutes(AdminApi& aAdminApi);

private:
  struct Shard
  {
    mutable std::mutex mutex_;
    BurnCounters counters_{ BurnCounters::Options{} };
  };

  Parts parts_;
  std::array<Shard, 8> shards_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BURN_RECORDER_H_
