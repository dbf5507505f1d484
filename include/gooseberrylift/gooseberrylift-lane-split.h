// Divides a pool's engines between short and long prompts. The load pattern it
// answers: season reviews among room state requests. Without it a short prompt
// waits for the chunk of a long one on whichever engine it comes to, and a
// long one's memory shuts short ones out.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_LANE_SPLIT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_LANE_SPLIT_H_

#include <chrono>
#include <cstdint>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Learns the share of work that long prompts make and sizes their lane.
class LaneSplit
{
public:
  struct Options
  {
    // A prompt this long holds an engine for an eighth of a second, which is
    // more than half of what the target gives a first token (0.33 s).
    std::uint64_t longTokens_ = 64'000;
    // Long prompts are rare: at today's size a host sees one in two seconds,
    // so a shorter memory would size the lane by chance.
    std::chrono::seconds memory_{ 30 };
    double headroom_ = 1.25;   // a lane filled to the brim queues
    double hysteresis_ = 0.75; // engines of change that are let be
    double shortLeast_ = 0.25; // of the pool stays with short prompts
  };

  explicit LaneSplit(Options aOptions);

  bool IsLong(std::uint64_t aTokens) const
  {
    return aTokens >= options_.longTokens_;
  }

  /// Notes a request and its predicted engine time.
  void OnRequest(bool aLong, std::chrono::microseconds aCost, TimePoint aNow);

  /// Gives how many of the live engines serve long prompts.
  std::size_t LongEngines(std::size_t aLive);

private:
  Options options_;
  double longWork_ = 0;
  double allWork_ = 0;
  bool seenLong_ = false;
  TimePoint last_{};
  double size_ = 0; // the lane's size in force
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_LANE_SPLIT_H_
