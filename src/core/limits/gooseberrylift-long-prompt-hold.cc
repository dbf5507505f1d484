#include "gooseberrylift/limits/gooseberrylift-long-prompt-hold.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::microseconds;
using std::chrono::milliseconds;

milliseconds RemainingHold(const HoldInput& aInput, const HoldOptions& aOptions)
{
  const milliseconds callerTimeout = std::min(
    aInput.callerStallTimeout_, aInput.sinceArrival_ + aInput.remaining_);
  const std::chrono::duration<double, std::milli> latest =
    callerTimeout * aOptions.maxHoldShare_ -
    aOptions.ownPrefillFactor_ * aInput.partialPrefill_;
  return std::chrono::ceil<milliseconds>(latest - aInput.sinceArrival_);
}

HoldDecision DecideLongPromptHold(const HoldInput& aInput,
                                  const HoldOptions& aOptions)
{
  if (aInput.peerLoadUnknown_ &&
      aInput.sinceArrival_ < aInput.objective_ * aOptions.blindHoldShare_) {
    return HoldDecision::kHold;
  }
  constexpr double kMicrosPerSecond = 1e6;
  const double prefillSeconds = std::max(
    static_cast<double>(aInput.prefill_.count()) / kMicrosPerSecond, 1e-3);
  // The first of all that wait takes the next engines, also if it is large.
  const double minFactor =
    aInput.isFirst_ ? aOptions.firstFactor_ : aOptions.minFactor_;
  const double factor =
    std::clamp(1 / prefillSeconds, minFactor, aOptions.maxFactor_);
  const bool missesObjective =
    aInput.objective_.count() > 0 &&
    aInput.sinceArrival_ + aInput.partialPrefill_ > aInput.objective_;
  const std::chrono::duration<double, std::milli> allowed =
    aOptions.allowedWait_ * factor *
    (missesObjective && !aInput.isFirst_ ? aOptions.missedObjectiveFactor_
                                         : 1.0);
  if (aInput.wait_ <= allowed) {
    return HoldDecision::kSend;
  }
  if (RemainingHold(aInput, aOptions) > milliseconds(0)) {
    return HoldDecision::kHold;
  }
  return aInput.wait_ <= aOptions.finalAllowedWait_ ? HoldDecision::kSend
                                                    : HoldDecision::kReject;
}

} // namespace gooseberrylift
