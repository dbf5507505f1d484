#include "gooseberrylift/membership/gooseberrylift-relay-peers.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

bool HasLostLinks(const Digest& aDigest, const std::string& aService)
{
  return std::find(aDigest.linksLost_.begin(),
                   aDigest.linksLost_.end(),
                   aService) != aDigest.linksLost_.end();
}

} // namespace

bool RelayPeers::IsUsable(const Digest& aDigest,
                          const RelayQuery& aQuery,
                          TimePoint aNow) const
{
  if (!aDigest.acceptsRelays_ || aDigest.draining_ ||
      HasLostLinks(aDigest, aQuery.service_) ||
      aQuery.excluded_.contains(aDigest.host_)) {
    return false;
  }
  const bool mayReceiveBody = aDigest.region_ == options_.region_ ||
                              IsAllowed(aQuery.allowedZones_, aDigest.zone_);
  const auto refused = refusedUntil_.find({ aDigest.host_, aQuery.service_ });
  return mayReceiveBody &&
         (refused == refusedUntil_.end() || aNow >= refused->second);
}

std::optional<PeerMember> RelayPeers::Choose(const RelayQuery& aQuery,
                                             TimePoint aNow) const
{
  std::vector<const Digest*> usable;
  std::vector<const Digest*> usableInZone;
  std::size_t lostInZone = 1; // this host
  for (const Digest& digest : live_) {
    const bool inZone = digest.zone_ == options_.zone_;
    lostInZone += inZone && HasLostLinks(digest, aQuery.service_) ? 1 : 0;
    if (!IsUsable(digest, aQuery, aNow)) {
      continue;
    }
    usable.push_back(&digest);
    if (inZone) {
      usableInZone.push_back(&digest);
    }
  }
  const auto& candidates =
    usableInZone.size() >= lostInZone ? usableInZone : usable;
  if (candidates.empty()) {
    return std::nullopt;
  }
  constexpr std::uint64_t kHalf = 32;
  const Digest* chosen = candidates[aQuery.draw_ % candidates.size()];
  const Digest* other = candidates[(aQuery.draw_ >> kHalf) % candidates.size()];
  if (ActiveAt(other->host_) < ActiveAt(chosen->host_)) {
    chosen = other;
  }
  return PeerMember{ .host_ = chosen->host_,
                     .zone_ = chosen->zone_,
                     .region_ = chosen->region_,
                     .address_ = chosen->peerAddress_,
                     .incarnation_ = chosen->incarnation_ };
}

int RelayPeers::ActiveAt(const std::string& aHost) const
{
  const auto found = active_.find(aHost);
  return found == active_.end() ? 0 : found->second;
}

void RelayPeers::OnEnded(const std::string& aHost)
{
  const auto found = active_.find(aHost);
  if (found != active_.end() && --found->second <= 0) {
    active_.erase(found);
  }
}

void RelayPeers::OnRefused(const std::string& aHost,
                           const std::string& aService,
                           TimePoint aNow)
{
  std::erase_if(refusedUntil_,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
  refusedUntil_[{ aHost, aService }] = aNow + options_.refusalTime_;
}

} // namespace gooseberrylift
