#include "gooseberrylift/limits/gooseberrylift-feature-arrivals.h"

#include <utility>

namespace gooseberrylift {

bool FeatureArrivals::HasEnded(WallTime aNow) const
{
  const bool isLong = aNow - current_.since_ >= options_.period_ &&
                      current_.requests_ >= options_.minRequests_;
  return isLong || current_.byPart_.size() >= options_.maxFeatures_;
}

void FeatureArrivals::OnArrived(const RequestFeatures& aFeatures, WallTime aNow)
{
  if (current_.requests_ == 0) {
    current_.since_ = aNow;
  } else if (HasEnded(aNow)) {
    previous_ = std::exchange(current_, Period{ .since_ = aNow });
  }
  ++current_.requests_;
  for (const std::string& part : aFeatures.parts_) {
    ++current_.byPart_[part];
  }
}

ArrivalCounts FeatureArrivals::Of(const std::string& aPart) const
{
  ArrivalCounts counts;
  for (const Period* period : { &current_, &previous_ }) {
    counts.all_ += period->requests_;
    const auto found = period->byPart_.find(aPart);
    counts.with_ += found != period->byPart_.end() ? found->second : 0;
  }
  return counts;
}

} // namespace gooseberrylift
