#include "gooseberrylift/limits/gooseberrylift-long-hold.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::microseconds;
using std::chrono::milliseconds;

HoldVerdict HoldLong(const HoldQuestion& aQuestion, const HoldOptions& aOptions)
{
  if (aQuestion.blind_ &&
      aQuestion.waited_ < aQuestion.objective_ * aOptions.blindShare_) {
    return HoldVerdict::kHold;
  }
  constexpr double kSecond = 1e6; // us
  const double readSeconds =
    std::max(static_cast<double>(aQuestion.read_.count()) / kSecond, 1e-3);
  const double factor =
    std::clamp(1 / readSeconds, aOptions.leastFactor_, aOptions.mostFactor_);
  const bool late = aQuestion.objective_.count() > 0 &&
                    aQuestion.waited_ + aQuestion.part_ > aQuestion.objective_;
  const std::chrono::duration<double, std::milli> allowed =
    aOptions.allowedWait_ * factor * (late ? aOptions.lateFactor_ : 1.0);
  if (aQuestion.wait_ <= allowed) {
    return HoldVerdict::kSend;
  }
  const milliseconds bearable =
    std::min(aQuestion.patience_, aQuestion.waited_ + aQuestion.remaining_);
  const std::chrono::duration<double, std::milli> latest =
    bearable * aOptions.latestShare_ - aOptions.ownRead_ * aQuestion.part_;
  if (aQuestion.waited_ < latest) {
    return HoldVerdict::kHold;
  }
  return aQuestion.wait_ <= aOptions.lastWait_ ? HoldVerdict::kSend
                                               : HoldVerdict::kGiveUp;
}

} // namespace gooseberrylift
