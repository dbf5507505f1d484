#include "gooseberrylift/routing/gooseberrylift-relay-decision.h"

namespace gooseberrylift {

namespace {

// Below this share, the endpoints in reach can take the work of the others.
constexpr double kUnreachableShare = 0.25;

} // namespace

std::string_view NameOf(RelayReason aReason)
{
  switch (aReason) {
    case RelayReason::kLinksLost:
      return "links-lost";
    case RelayReason::kConnectionsFailed:
      return "connections-failed";
    case RelayReason::kPartOfLinksLost:
      return "part-of-links-lost";
    case RelayReason::kNone:
      break;
  }
  return "none";
}

RelayReason DecideRelay(const RelayInput& aInput)
{
  if (aInput.linksLost_) {
    return RelayReason::kLinksLost;
  }
  if (aInput.failedConnections_ >= kMaxFailedConnections) {
    return RelayReason::kConnectionsFailed;
  }
  const auto endpoints = static_cast<double>(aInput.endpoints_);
  const auto unreachable = static_cast<double>(aInput.unreachable_);
  const bool manyUnreachable =
    aInput.unreachable_ > 0 && unreachable >= endpoints * kUnreachableShare;
  return aInput.lateHere_ && manyUnreachable ? RelayReason::kPartOfLinksLost
                                             : RelayReason::kNone;
}

} // namespace gooseberrylift
