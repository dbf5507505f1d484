// Records ended requests for the burn report of this host.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BURN_RECORDER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BURN_RECORDER_H_

#include <array>
#include <mutex>
#include <optional>
#include <string>

#include "gooseberrylift/gooseberrylift-burn-document.h"
#include "gooseberrylift/internal/gooseberrylift-admin-api.h"

namespace gooseberrylift {

// Shards by team and service, each ledger under its own lock, so that a series
// lives in one shard and the memory bound holds. Safe from any thread.
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

  /// Counts one ended request, if its service has an objective and its end is
  /// not the caller's own doing.
  /// @param aService the service as the configuration has it
  /// @param aSample the request; succeeded_ is set here
  /// @param aCode how it ended
  void Record(const ServiceConfig& aService,
              BurnSample aSample,
              ResultCode aCode);

  /// Gives this host's counts.
  BurnDocument Document() const;

  /// Adds GET /report/burn to the admin port.
  void AddRoutes(AdminApi& aAdminApi);

private:
  struct Shard
  {
    mutable std::mutex mutex_;
    BurnCounters ledger_{ BurnCounters::Options{} };
  };

  Parts parts_;
  std::array<Shard, 8> shards_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BURN_RECORDER_H_
