// The retry budget of a host, shared by all of its requests.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_RETRY_BUDGET_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_RETRY_BUDGET_H_

#include <cstddef>
#include <mutex>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/limits/gooseberrylift-fleet-retry-budget.h"

namespace gooseberrylift {

// Thread-safe. Logs and counts what the budget decides.
class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(Metrics& aMetrics)
    : metrics_(aMetrics)
  {
  }

  void SetOptions(const FleetRetryBudget::Options& aOptions);

  /// Sets the number of hosts that share the budget, this one included.
  void SetHosts(std::size_t aHosts);

  /// Counts a caller's request for a service.
  void OnRequest(const std::string& aService, TimePoint aNow);

  /// Charges the budget for a retry.
  /// @param aRequestId for the log
  /// @return whether the retry is allowed
  bool TryRetry(const std::string& aService,
                const std::string& aRequestId,
                TimePoint aNow);

private:
  Metrics& metrics_;
  std::mutex mutex_; // guards the members below
  FleetRetryBudget budget_{ FleetRetryBudget::Options{} };
  std::size_t hosts_ = 1;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_RETRY_BUDGET_H_
