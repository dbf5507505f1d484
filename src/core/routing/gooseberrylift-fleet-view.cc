#include "gooseberrylift/routing/gooseberrylift-fleet-view.h"

namespace gooseberrylift {

bool FleetView::IsBlind(TimePoint aNow) const
{
  const bool hasRecentMessage =
    lastMessage_ != TimePoint{} && aNow - lastMessage_ < options_.peerTimeout_;
  if (hasRecentMessage) {
    return false;
  }
  return peerCount_ > 0 || aNow - started_ < options_.peerDiscovery_;
}

} // namespace gooseberrylift
