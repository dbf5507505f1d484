// Limits how often failed requests are retried at another endpoint, over all
// hosts. If endpoints fail many requests at once, unlimited retries double the
// load on the remaining endpoints, and the fleet's capacity goes into retries.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FLEET_RETRY_BUDGET_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FLEET_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Counts events in a sliding window, which is divided into slices, so that a
// limit holds for any window of that length and not only for aligned ones.
class SlidingWindowCounter
{
public:
  /// Counts one event. Times must not decrease between calls.
  void Add(TimePoint aNow, std::chrono::milliseconds aWindow);

  /// Returns the count for the window that ends at aNow, plus up to one slice.
  std::uint64_t Sum(TimePoint aNow, std::chrono::milliseconds aWindow) const;

private:
  // Slices of 200 ms for a window of 10 s.
  static constexpr std::int64_t kSlices = 50;

  static std::int64_t SliceOf(TimePoint aNow,
                              std::chrono::milliseconds aWindow);

  struct Slice
  {
    std::int64_t number_ = -1;
    std::uint64_t count_ = 0;
  };
  std::array<Slice, kSlices + 1> slices_{};
};

// What a host's share of the budget stands at.
struct RetryBudgetState
{
  std::uint64_t requests_ = 0; // in the window
  std::uint64_t retries_ = 0;  // in the window
  double limit_ = 0;           // of the retries in the window
  std::size_t hosts_ = 0;      // that share the budget
};

// One host's share of a retry budget for all hosts. The fixed allowance is
// split evenly. The part proportional to the requests needs no split, because
// each host counts its own requests. So the sum over all hosts never exceeds
// the budget, even while they can't reach each other. Not thread-safe.
class FleetRetryBudget
{
public:
  struct Options
  {
    double ratio_ = 0.2; // retries per request
    std::chrono::milliseconds window_{ 10'000 };
    double allowance_ = 100; // retries per window, over all hosts
    // The promised limit is checked against the best of three windows, while
    // requests are counted in one sliding window here; a tenth is reserved for
    // the rounding to slices.
    double safetyFactor_ = 0.9;
  };

  explicit FleetRetryBudget(Options aOptions)
    : options_(aOptions)
  {
  }

  void SetOptions(Options aOptions) { options_ = aOptions; }

  /// Counts a caller's request for a service.
  void OnRequest(const std::string& aService, TimePoint aNow);

  /// Counts a retry if this host's share of the budget allows it.
  /// @param aHosts the number of hosts that share the budget, at least 1
  /// @return whether the retry is allowed
  bool TryRetry(const std::string& aService,
                std::size_t aHosts,
                TimePoint aNow);

  /// Returns what this host has counted, and what it may spend.
  RetryBudgetState StateOf(const std::string& aService,
                           std::size_t aHosts,
                           TimePoint aNow) const;

private:
  struct Counts
  {
    SlidingWindowCounter requests_;
    SlidingWindowCounter retries_;
  };

  Options options_;
  std::map<std::string, Counts> services_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FLEET_RETRY_BUDGET_H_
