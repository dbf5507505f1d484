// Limits how fast stalled attempts are replaced while no endpoint responds.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPLACEMENT_PACER_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPLACEMENT_PACER_H_

#include <chrono>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// If all endpoints in use are silent, the cause may be common to all endpoints,
// such as a pause of the machines or of their network. Sending every stalled
// request again would then make endpoints that resume a moment later do all
// work twice. One replacement at a time finds out, the first a moment later, so
// that further requests may stall and show whether this host's links are lost.
// Each has time to show that its endpoint is silent as well, so that the next
// one avoids that endpoint. Not thread-safe.
class ReplacementPacer
{
public:
  // An endpoint that has sent nothing to a request for longer counts as silent.
  static constexpr std::chrono::milliseconds kMaxSilence{ 250 };

  /// Returns whether a stalled attempt may be replaced now, and counts the
  /// replacement.
  /// @param aResponding whether endpoints respond to other requests
  bool TryReplace(bool aResponding, TimePoint aNow);

private:
  static constexpr std::chrono::milliseconds kFirstDelay{ 100 };
  // After this time without a replacement, a new silence has begun.
  static constexpr std::chrono::milliseconds kForgetAfter{ 2'000 };

  static constexpr std::chrono::milliseconds kInterval = kMaxSilence * 11 / 10;

  bool isSilent_ = false;
  TimePoint next_{}; // when the next one may be sent
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REPLACEMENT_PACER_H_
