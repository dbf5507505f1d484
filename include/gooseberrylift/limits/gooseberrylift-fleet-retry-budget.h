// Limits how often failed requests are retried at another endpoint, over all
// hosts. If endpoints fail many requests at once, unlimited retries double the
// load on the remaining endpoints, and the fleet's capacity goes into retries.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FLEET_RETRY_BUDGET_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FLEET_RETRY_BUDGET_H_

#include <algorithm>
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
  std::uint64_t requests_ = 0;         // in the window
  std::uint64_t retries_ = 0;          // in the window
  std::uint64_t reserved_ = 0;         // allowed, but not sent yet
  double limit_ = 0;                   // of the retries in the window
  std::size_t hosts_ = 0;              // that share the budget; 0: not known
  std::chrono::milliseconds age_{ 0 }; // of this process
};

// One host's share of a retry budget for all hosts. The fixed allowance is
// split evenly. The part proportional to the requests needs no split, because
// each host counts its own requests. So the sum over all hosts never exceeds
// the budget, even while they can't reach each other.
//
// A process that has just started doesn't know what its predecessor has spent
// in the current window. For one window it spends only from small parts of the
// budget, which are reserved for such processes: some retries at its start, and
// more as its requests and its time add up. So the sum also holds while hosts
// restart or are replaced, with four starts of each in a window.
//
// A retry is reserved when it is decided and counted when it is sent, which may
// be seconds later. Not thread-safe.
class FleetRetryBudget
{
public:
  struct Options
  {
    double ratio_ = 0.2; // retries per request
    std::chrono::milliseconds window_{ 10'000 };
    double allowance_ = 100; // retries per window, over all hosts
    // The parts of the proportional budget for processes that have run for a
    // window, and for the others. What is left covers the rounding to slices,
    // and that the promised limit takes the requests of a window that may end
    // earlier than the one that is counted here.
    double establishedRatioPart_ = 0.85;
    double startingRatioPart_ = 0.1;
    // The parts of the allowance for processes that have run for a window, for
    // each start, and for the time since the start, up to a window.
    double establishedAllowancePart_ = 0.7;
    double startAllowancePart_ = 0.05;
    double uptimeAllowancePart_ = 0.1;
    // A fraction of a retry that a process starts with. Drawn at random, it
    // lets hosts whose parts are below one retry use them on average.
    double startingCredit_ = 0;
  };

  /// @param aStart when this process started
  FleetRetryBudget(Options aOptions, TimePoint aStart)
    : options_(aOptions)
    , start_(aStart)
  {
  }

  void SetOptions(Options aOptions) { options_ = aOptions; }

  /// Sets the number of hosts that share the budget. For up to two windows the
  /// highest number counts, since hosts that have left may have spent their
  /// shares.
  /// @param aHosts at least 1
  void SetHosts(std::size_t aHosts, TimePoint aNow);

  /// Counts a caller's request for a service.
  void OnRequest(const std::string& aService, TimePoint aNow);

  /// Reserves a retry if this host's share of the budget allows it. Must be
  /// followed by OnSent or Release.
  /// @return whether the retry is allowed
  bool TryReserve(const std::string& aService, TimePoint aNow);

  /// Counts a reserved retry that is being sent.
  void OnSent(const std::string& aService, TimePoint aNow);

  /// Returns a reserved retry that was not sent.
  void Release(const std::string& aService);

  /// Returns what this host has counted, and what it may spend.
  RetryBudgetState StateOf(const std::string& aService, TimePoint aNow) const;

private:
  struct Counts
  {
    SlidingWindowCounter requests_;
    SlidingWindowCounter retries_;
    std::uint64_t reserved_ = 0;
  };

  double LimitFor(const RetryBudgetState& aState) const;
  std::size_t Hosts() const { return std::max(hosts_, formerHosts_); }

  Options options_;
  TimePoint start_;
  std::size_t hosts_ = 0;       // the highest number since hostsSince_
  std::size_t formerHosts_ = 0; // that of the window before
  TimePoint hostsSince_{};
  std::map<std::string, Counts> services_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FLEET_RETRY_BUDGET_H_
