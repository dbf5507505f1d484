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
  const std::chrono::duration<double> since = aNow - last_;
  const std::chrono::duration<double> memory = options_.memory_;
  const double kept = std::exp(-(since / memory));
  last_ = aNow;
  const auto cost = static_cast<double>(aCost.count());
  allWork_ = allWork_ * kept + cost;
  longWork_ = longWork_ * kept + (aLong ? cost : 0);
  seenLong_ = seenLong_ || aLong;
}

std::size_t LaneSplit::LongEngines(std::size_t aLive)
{
  if (aLive < 2 || !seenLong_) {
    return 0;
  }
  const auto live = static_cast<double>(aLive);
  const double share = allWork_ > 0 ? longWork_ / allWork_ : 0;
  const double most = std::floor(live * (1 - options_.shortLeast_));
  const double wanted =
    std::clamp(live * share * options_.headroom_, 1.0, std::max(1.0, most));
  if (std::abs(wanted - size_) > options_.hysteresis_ || size_ > most) {
    size_ = wanted;
  }
  return static_cast<std::size_t>(
    std::clamp(std::round(size_), 1.0, std::max(1.0, most)));
}

} // namespace gooseberrylift
