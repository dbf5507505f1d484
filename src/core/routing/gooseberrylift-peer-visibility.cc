#include "gooseberrylift/routing/gooseberrylift-peer-visibility.h"

namespace gooseberrylift {

bool PeerVisibility::IsPeerLoadUnknown(TimePoint aNow) const
{
  const bool hasRecentMessage =
    lastMessage_ != TimePoint{} && aNow - lastMessage_ < options_.peerTimeout_;
  if (hasRecentMessage) {
    return false;
  }
  return peerCount_ > 0 || aNow - started_ < options_.peerDiscovery_;
}

} // namespace gooseberrylift
