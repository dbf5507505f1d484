#include "gooseberrylift/gooseberrylift-lane-split.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

LaneSplit::LaneSplit(Options aOptions)
  : options_(aOptions)
{
}

void LaneSplit::OnRequest(bool aLong,
                          std::chrono::microseconds aCost,
                          TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - lastRequest_;
  const std::chrono::duration<double> decayTime = options_.decayTime_;
  const double retained = std::exp(-(elapsed / decayTime));
  lastRequest_ = aNow;
  const auto cost = static_cast<double>(aCost.count());
  allWork_ = allWork_ * retained + cost;
  longWork_ = longWork_ * retained + (aLong ? cost : 0);
  anyLong_ = anyLong_ || aLong;
}

std::size_t LaneSplit::LongLaneSize(std::size_t aLive)
{
  if (aLive < 2 || !anyLong_) {
    return 0;
  }
  const auto live = static_cast<double>(aLive);
  const double share = allWork_ > 0 ? longWork_ / allWork_ : 0;
  const double maxSize = std::floor(live * (1 - options_.minShortShare_));
  const double target =
    std::clamp(live * share * options_.headroom_, 1.0, std::max(1.0, maxSize));
  if (std::abs(target - currentSize_) > options_.hysteresis_ ||
      currentSize_ > maxSize) {
    currentSize_ = target;
  }
  return static_cast<std::size_t>(
    std::clamp(std::round(currentSize_), 1.0, std::max(1.0, maxSize)));
}

} // namespace gooseberrylift
