#include "gooseberrylift/limits/gooseberrylift-long-hold.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::microseconds;
using std::chrono::milliseconds;

HoldVerdict HoldLong(const HoldQuestion& aInput, const HoldOptions& aOptions)
{
  if (aInput.blind_ &&
      aInput.waited_ < aInput.objective_ * aOptions.blindHoldShare_) {
    return HoldVerdict::kHold;
  }
  constexpr double kMicrosPerSecond = 1e6;
  const double prefillSeconds = std::max(
    static_cast<double>(aInput.read_.count()) / kMicrosPerSecond, 1e-3);
  const double factor =
    std::clamp(1 / prefillSeconds, aOptions.leastFactor_, aOptions.mostFactor_);
  const bool missesObjective =
    aInput.objective_.count() > 0 &&
    aInput.waited_ + aInput.part_ > aInput.objective_;
  const std::chrono::duration<double, std::milli> allowed =
    aOptions.allowedWait_ * factor *
    (missesObjective ? aOptions.lateFactor_ : 1.0);
  if (aInput.wait_ <= allowed) {
    return HoldVerdict::kSend;
  }
  const milliseconds callerTimeout =
    std::min(aInput.patience_, aInput.waited_ + aInput.remaining_);
  const std::chrono::duration<double, std::milli> latest =
    callerTimeout * aOptions.latestShare_ - aOptions.ownRead_ * aInput.part_;
  if (aInput.waited_ < latest) {
    return HoldVerdict::kHold;
  }
  return aInput.wait_ <= aOptions.lastWait_ ? HoldVerdict::kSend
                                            : HoldVerdict::kGiveUp;
}

} // namespace gooseberrylift
