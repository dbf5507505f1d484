#include "gooseberrylift/membership/gooseberrylift-load-message-filter.h"

#include <algorithm>

namespace gooseberrylift {

std::optional<std::string> LoadMessageFilter::Accept(
  const LoadMessage& aMessage,
  TimePoint aNow)
{
  if (!IsInOrder(aMessage)) {
    return std::nullopt;
  }
  if (aMessage.zone_.empty()) {
    return aMessage.host_;
  }
  if (aMessage.zone_ == zone_ || !zoneFilter_.Accepts(aMessage, aNow)) {
    return std::nullopt;
  }
  return PeerNameOfZone(aMessage.zone_);
}

bool LoadMessageFilter::IsInOrder(const LoadMessage& aMessage)
{
  // A host's messages about its zone have a sequence separate from those about
  // itself.
  LastMessages& last = lastMessages_[aMessage.zone_ + "/" + aMessage.host_];
  const bool inOrder = aMessage.kind_ == LoadMessageKind::kSnapshotContinued
                         ? aMessage.sequence_ == last.snapshotSequence_
                         : aMessage.sequence_ > last.latestSequence_;
  if (!inOrder) {
    return false;
  }
  last.latestSequence_ = std::max(last.latestSequence_, aMessage.sequence_);
  if (aMessage.kind_ == LoadMessageKind::kSnapshot) {
    last.snapshotSequence_ = aMessage.sequence_;
  }
  return true;
}

} // namespace gooseberrylift
