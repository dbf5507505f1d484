#include "gooseberrylift/limits/gooseberrylift-replacement-pacer.h"

namespace gooseberrylift {

bool ReplacementPacer::TryReplace(bool aResponding, TimePoint aNow)
{
  if (aResponding) {
    isSilent_ = false;
    return true;
  }
  if (!isSilent_ || aNow - next_ >= kForgetAfter) {
    isSilent_ = true;
    next_ = aNow + kFirstDelay;
  }
  if (aNow < next_) {
    return false;
  }
  next_ = aNow + kInterval;
  return true;
}

} // namespace gooseberrylift
