#include "gooseberrylift/limits/gooseberrylift-replacement-pacer.h"

namespace gooseberrylift {

bool ReplacementPacer::TryReplace(bool aResponding, TimePoint aNow)
{
  if (aResponding) {
    allowed_ = 0;
    return true;
  }
  const auto elapsed = aNow - roundStart_;
  if (allowed_ == 0 || elapsed >= kForgetAfter) {
    allowed_ = 1;
    used_ = 0;
    roundStart_ = aNow + kFirstDelay;
  } else if (elapsed >= kRound) {
    allowed_ *= 2;
    used_ = 0;
    roundStart_ = aNow;
  }
  if (aNow < roundStart_ || used_ >= allowed_) {
    return false;
  }
  ++used_;
  return true;
}

} // namespace gooseberrylift
