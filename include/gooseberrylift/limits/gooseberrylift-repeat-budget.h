// Bounds how often requests are sent to a further endpoint. The load it
// answers: endpoints that fail many requests at once. Without a bound over all
// hosts each failure doubles the load on those that are left, and the fleet
// spends itself on repeats.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPEAT_BUDGET_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPEAT_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Counts what happened in the last while, in slices of a part of it, so that
// any window of that length is bounded and not just those of a fixed grid.
class SlidingCount
{
public:
  /// Adds one at a time that does not fall.
  void Add(TimePoint aNow, std::chrono::milliseconds aWindow);

  /// Gives the count of the window that ends now, and up to a slice more.
  std::uint64_t Sum(TimePoint aNow, std::chrono::milliseconds aWindow) const;

private:
  static constexpr std::int64_t kSlices = 50; // 200 ms of a window of 10 s

  static std::int64_t SliceOf(TimePoint aNow,
                              std::chrono::milliseconds aWindow);

  struct Slice
  {
    std::int64_t number_ = -1;
    std::uint64_t count_ = 0;
  };
  std::array<Slice, kSlices + 1> slices_{};
};

// One host's part of a budget that all hosts share. The fixed allowance is
// split evenly; the part that grows with the requests needs no split, because
// each host counts its own. So the sum over the hosts never exceeds the whole,
// also while they can't reach each other. Not thread-safe.
class RepeatBudget
{
public:
  struct Options
  {
    double ratio_ = 0.2; // repeats for each request
    std::chrono::milliseconds window_{ 10'000 };
    double allowance_ = 100; // repeats in a window, over all hosts
    // Requests are counted in one sliding window here and in the best of
    // three by the promise; a tenth is kept back for the slices' rounding.
    double safety_ = 0.9;
  };

  explicit RepeatBudget(Options aOptions)
    : options_(aOptions)
  {
  }

  void SetOptions(Options aOptions) { options_ = aOptions; }

  /// Notes a caller's request for a service.
  void OnRequest(const std::string& aService, TimePoint aNow);

  /// Asks for one repeat, which is then counted.
  /// @param aHosts how many hosts share the budget, at least 1
  /// @return false when it would go over this host's part
  bool TryRepeat(const std::string& aService,
                 std::size_t aHosts,
                 TimePoint aNow);

  /// Gives how many repeats are left to this host now.
  double Left(const std::string& aService,
              std::size_t aHosts,
              TimePoint aNow) const;

private:
  struct Counts
  {
    SlidingCount requests_;
    SlidingCount repeats_;
  };

  Options options_;
  std::map<std::string, Counts> services_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPEAT_BUDGET_H_
