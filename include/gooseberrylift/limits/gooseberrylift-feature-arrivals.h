// Counts how many of the requests that arrive have a feature.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FEATURE_ARRIVALS_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FEATURE_ARRIVALS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "gooseberrylift/limits/gooseberrylift-crash-evidence.h"

namespace gooseberrylift {

// Requests that arrived lately, and those of them that had a feature.
struct ArrivalCounts
{
  std::uint64_t all_ = 0;
  std::uint64_t with_ = 0;
};

// Tells a part of a prompt that nearly all requests have from one that few
// have, whatever became of the requests. Callers name the parts, so the memory
// is bounded. Not thread-safe.
class FeatureArrivals
{
public:
  struct Options
  {
    // Counts are kept for one to two periods, and longer until there are enough
    // requests to compare.
    std::chrono::seconds period_{ 10 };
    std::uint64_t minRequests_ = 64;
    std::size_t maxFeatures_ = 4'096; // in a period; more end it
  };

  explicit FeatureArrivals(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Counts a request and the parts of its prompt.
  void OnArrived(const RequestFeatures& aFeatures, WallTime aNow);

  /// Returns the requests of the last one to two periods.
  ArrivalCounts Of(const std::string& aPart) const;

private:
  struct Period
  {
    WallTime since_{};
    std::uint64_t requests_ = 0;
    std::unordered_map<std::string, std::uint64_t> byPart_;
  };

  bool HasEnded(WallTime aNow) const;

  Options options_;
  Period current_;
  Period previous_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_FEATURE_ARRIVALS_H_
