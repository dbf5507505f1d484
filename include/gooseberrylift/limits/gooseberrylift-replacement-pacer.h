// Limits how fast stalled attempts are replaced while no endpoint responds.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPLACEMENT_PACER_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPLACEMENT_PACER_H_

#include <chrono>
#include <cstddef>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// If all endpoints in use are silent, the cause may be common to all endpoints,
// such as a pause of the machines or of their network. Sending every stalled
// request again would then make endpoints that resume a moment later do all
// work twice. One replacement finds out, a moment later so that further
// requests may stall and show whether this host's links are lost. If it stays
// silent too, further rounds of twice as many follow. Not thread-safe.
class ReplacementPacer
{
public:
  /// Returns whether a stalled attempt may be replaced now, and counts the
  /// replacement.
  /// @param aResponding whether endpoints respond to other requests
  bool TryReplace(bool aResponding, TimePoint aNow);

private:
  static constexpr std::chrono::milliseconds kFirstDelay{ 100 };
  static constexpr std::chrono::milliseconds kRound{ 400 };
  // After this time without a replacement, a new silence has begun.
  static constexpr std::chrono::milliseconds kForgetAfter{ 2'000 };

  TimePoint roundStart_{};
  std::size_t allowed_ = 0; // in this round
  std::size_t used_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPLACEMENT_PACER_H_
