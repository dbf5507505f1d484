// Divides the engines of a pool between short and long prompts, such as
// room-state requests and season reviews. On shared engines a short prompt
// waits for a prefill chunk of a long one, and the memory of long prompts
// leaves no room for short ones.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_LANE_SPLIT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_LANE_SPLIT_H_

#include <chrono>
#include <cstdint>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Measures the share of engine time used by long prompts and sizes their lane,
// the subset of engines that serves them.
class LaneSplit
{
public:
  struct Options
  {
    // A prompt of this length occupies an engine for an eighth of a second. The
    // target for the time to first token is 0.33 s.
    std::uint64_t minLongTokens_ = 64'000;
    // Time constant of the exponential decay. A host sees a long prompt about
    // every two seconds, so a shorter one would make the lane size random.
    std::chrono::seconds decayTime_{ 30 };
    double headroom_ = 1.25;      // a fully used lane queues
    double hysteresis_ = 0.75;    // engines; smaller changes are ignored
    double minShortShare_ = 0.25; // minimum of the pool for short prompts
  };

  explicit LaneSplit(Options aOptions);

  bool IsLong(std::uint64_t aTokens) const
  {
    return aTokens >= options_.minLongTokens_;
  }

  /// Records a request and its predicted engine time.
  void OnRequest(bool aLong, std::chrono::microseconds aCost, TimePoint aNow);

  /// Returns how many of the live engines serve long prompts.
  std::size_t LongLaneSize(std::size_t aLive);

private:
  Options options_;
  double longWork_ = 0;
  double allWork_ = 0;
  bool anyLong_ = false;
  TimePoint lastRequest_{};
  double currentSize_ = 0; // engines, before rounding
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_LANE_SPLIT_H_
