#include "gooseberrylift/membership/gooseberrylift-peer-groups.h"

#include <algorithm>
#include <iterator>

#include "gooseberrylift/membership/gooseberrylift-zone-load.h"

namespace gooseberrylift {

namespace {

// Number of hosts to exchange store status with in a round: three in a small
// fleet; one of the own zone and one of another zone in a large one.
constexpr std::size_t kSmallFleetSample = 3;
constexpr std::size_t kNearSample = 1;
constexpr std::size_t kFarSample = 1;

// Sets this host's rank in its zone and the addresses of the hosts next by
// rank, which take over aggregating the zone if this host fails.
void RankInZone(const PeerSnapshot& aPeers, LoadMessagePeers& aRecipients)
{
  std::vector<const Digest*> successors;
  for (const Digest& digest : aPeers.live_) {
    if (digest.draining_ || digest.zone_ != aPeers.zone_) {
      continue;
    }
    if (RanksBefore(digest.host_, aPeers.host_)) {
      ++aRecipients.rank_;
    } else {
      successors.push_back(&digest);
    }
  }
  const std::size_t count =
    std::min(successors.size(), ZoneAggregatorRole::Options{}.candidates_ - 1);
  std::partial_sort(successors.begin(),
                    successors.begin() + static_cast<std::ptrdiff_t>(count),
                    successors.end(),
                    [](const Digest* aLeft, const Digest* aRight) {
                      return RanksBefore(aLeft->host_, aRight->host_);
                    });
  for (std::size_t index = 0; index < count; ++index) {
    aRecipients.successors_.push_back(successors[index]->peerAddress_);
  }
}

} // namespace

PeerGroups GroupPeers(const PeerSnapshot& aPeers)
{
  const bool isSmallFleet = aPeers.fleet_ < PeerTable::kSmallFleet;
  PeerGroups groups;
  for (const PeerMember& member : aPeers.known_) {
    const bool isInZone = member.zone_ == aPeers.zone_;
    if (isInZone) {
      groups.zoneHosts_.insert(member.host_);
    }
    if (isSmallFleet || isInZone) {
      groups.loadMessagePeers_.near_.push_back(member.address_);
    }
  }
  for (const Digest& digest : aPeers.live_) {
    const bool isNear = isSmallFleet || digest.zone_ == aPeers.zone_;
    (isNear ? groups.near_ : groups.far_)
      .push_back({ .host_ = digest.host_, .address_ = digest.peerAddress_ });
    if (!isNear && !digest.draining_) {
      groups.loadMessagePeers_.far_[digest.zone_].push_back(
        digest.peerAddress_);
    }
  }
  RankInZone(aPeers, groups.loadMessagePeers_);
  return groups;
}

std::vector<PeerMember> SamplePeers(const PeerGroups& aGroups,
                                    std::minstd_rand& aRandom)
{
  std::vector<PeerMember> sample;
  const auto addSample = [&](const std::vector<PeerMember>& aFrom,
                             std::size_t aCount) {
    std::sample(aFrom.begin(),
                aFrom.end(),
                std::back_inserter(sample),
                static_cast<std::ptrdiff_t>(aCount),
                aRandom);
  };
  addSample(aGroups.near_,
            aGroups.far_.empty() ? kSmallFleetSample : kNearSample);
  addSample(aGroups.far_, kFarSample);
  return sample;
}

ReaderRank RankAmong(const ReaderCandidate& aSelf,
                     const std::vector<Digest>& aLive)
{
  std::vector<ReaderCandidate> others;
  others.reserve(aLive.size());
  for (const Digest& digest : aLive) {
    others.push_back({ .host_ = digest.host_,
                       .storeUnreachable_ = !digest.storeReachable_,
                       .leaving_ = digest.draining_ });
  }
  return RankReaders(aSelf, others);
}

} // namespace gooseberrylift
