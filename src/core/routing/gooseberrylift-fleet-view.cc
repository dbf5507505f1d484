#include "gooseberrylift/routing/gooseberrylift-fleet-view.h"

namespace gooseberrylift {

bool FleetView::IsBlind(TimePoint aNow) const
{
  const bool hears =
    heard_ != TimePoint{} && aNow - heard_ < options_.forgetPeer_;
  if (hears) {
    return false;
  }
  return peers_ > 0 || aNow - started_ < options_.expectsPeers_;
}

} // namespace gooseberrylift
