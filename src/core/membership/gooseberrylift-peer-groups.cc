#include "gooseberrylift/membership/gooseberrylift-peer-groups.h"

#include <algorithm>
#include <iterator>

#include "gooseberrylift/membership/gooseberrylift-zone-sums.h"

namespace gooseberrylift {

namespace {

// Hosts asked in a round what they know of the store: in a small fleet three,
// in a large one one of the own zone and one of another.
constexpr std::size_t kAskedOfSmallFleet = 3;
constexpr std::size_t kAskedNear = 1;
constexpr std::size_t kAskedFar = 1;

// Gives this host's place in its zone, and the addresses of the next ones that
// stand ready to sum it up.
void RankInZone(const PeersInView& aView, WordPeers& aWords)
{
  std::vector<const Digest*> after;
  for (const Digest& digest : aView.live_) {
    if (digest.draining_ || digest.zone_ != aView.zone_) {
      continue;
    }
    if (RanksBefore(digest.host_, aView.host_)) {
      ++aWords.rank_;
    } else {
      after.push_back(&digest);
    }
  }
  const std::size_t successors =
    std::min(after.size(), ZoneTurn::Options{}.ready_ - 1);
  std::partial_sort(after.begin(),
                    after.begin() + static_cast<std::ptrdiff_t>(successors),
                    after.end(),
                    [](const Digest* aOne, const Digest* aOther) {
                      return RanksBefore(aOne->host_, aOther->host_);
                    });
  for (std::size_t index = 0; index < successors; ++index) {
    aWords.successors_.push_back(after[index]->peerAddress_);
  }
}

} // namespace

PeerGroups GroupPeers(const PeersInView& aView)
{
  const bool small = aView.fleet_ < PeerTable::kSmallFleet;
  PeerGroups groups;
  for (const PeerMember& member : aView.known_) {
    const bool isOfZone = member.zone_ == aView.zone_;
    if (isOfZone) {
      groups.zoneHosts_.insert(member.host_);
    }
    if (small || isOfZone) {
      groups.words_.near_.push_back(member.address_);
    }
  }
  for (const Digest& digest : aView.live_) {
    const bool isNear = small || digest.zone_ == aView.zone_;
    (isNear ? groups.near_ : groups.far_)
      .push_back({ .host_ = digest.host_, .address_ = digest.peerAddress_ });
    if (!isNear && !digest.draining_) {
      groups.words_.far_[digest.zone_].push_back(digest.peerAddress_);
    }
  }
  RankInZone(aView, groups.words_);
  return groups;
}

std::vector<PeerMember> DrawPeers(const PeerGroups& aGroups,
                                  std::minstd_rand& aRandom)
{
  std::vector<PeerMember> drawn;
  const auto draw = [&](const std::vector<PeerMember>& aFrom,
                        std::size_t aCount) {
    std::sample(aFrom.begin(),
                aFrom.end(),
                std::back_inserter(drawn),
                static_cast<std::ptrdiff_t>(aCount),
                aRandom);
  };
  draw(aGroups.near_, aGroups.far_.empty() ? kAskedOfSmallFleet : kAskedNear);
  draw(aGroups.far_, kAskedFar);
  return drawn;
}

ReadRank RankAmong(const ReadCandidate& aSelf, const std::vector<Digest>& aLive)
{
  std::vector<ReadCandidate> others;
  others.reserve(aLive.size());
  for (const Digest& digest : aLive) {
    others.push_back({ .host_ = digest.host_,
                       .lost_ = !digest.storeReachable_,
                       .leaving_ = digest.draining_ });
  }
  return RankReaders(aSelf, others);
}

} // namespace gooseberrylift
