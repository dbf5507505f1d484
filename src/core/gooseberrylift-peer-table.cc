#include "gooseberrylift/gooseberrylift-peer-table.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

// In a large fleet, one in this many rounds also contacts a host of another
// zone. New generations don't wait for it: SelectOutdatedPeers selects peers at
// once.
constexpr std::uint64_t kRoundsPerOutOfZonePeer = 2;

// The number of hosts whose heartbeats a zone can relay per round within the
// byte budget.
constexpr std::size_t kHeartbeatsPerRound = 16;

// A host that was heard from within this many heartbeat intervals is reported
// to a host that has just started. The value is high because hosts of other
// zones are heard from infrequently.
constexpr int kRecentlyHeardHeartbeats = 100;

// A host that stopped responding is kept for this many times the failure
// timeout, so that a paused host is found again without the store.
constexpr int kRetentionFactor = 60;

bool EqualIgnoringDemand(const Digest& aLeft, const Digest& aRight)
{
  const auto sameEndpoint = [](const EndpointDigest& aOne,
                               const EndpointDigest& aOther) {
    return aOne.name_ == aOther.name_ && aOne.state_ == aOther.state_ &&
           aOne.incarnation_ == aOther.incarnation_;
  };
  const auto sameEntry = [](const QuarantineEntry& aOne,
                            const QuarantineEntry& aOther) {
    return aOne.fingerprint_ == aOther.fingerprint_ &&
           aOne.version_ == aOther.version_;
  };
  const auto sameRate = [](const EndpointRate& aOne,
                           const EndpointRate& aOther) {
    return aOne.endpoint_ == aOther.endpoint_ &&
           aOne.version_ == aOther.version_;
  };
  return aLeft.keysProven_ == aRight.keysProven_ &&
         aLeft.generation_ == aRight.generation_ &&
         aLeft.storeReachable_ == aRight.storeReachable_ &&
         aLeft.draining_ == aRight.draining_ &&
         std::equal(aLeft.endpoints_.begin(),
                    aLeft.endpoints_.end(),
                    aRight.endpoints_.begin(),
                    aRight.endpoints_.end(),
                    sameEndpoint) &&
         std::equal(aLeft.quarantine_.begin(),
                    aLeft.quarantine_.end(),
                    aRight.quarantine_.begin(),
                    aRight.quarantine_.end(),
                    sameEntry) &&
         std::equal(aLeft.rates_.begin(),
                    aLeft.rates_.end(),
                    aRight.rates_.begin(),
                    aRight.rates_.end(),
                    sameRate);
}

bool IsNewer(const Digest& aDigest, const Digest& aThan)
{
  return std::pair(aDigest.incarnation_, aDigest.sequence_) >
         std::pair(aThan.incarnation_, aThan.sequence_);
}

} // namespace

PeerTable::PeerTable(Options aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
{
  own_.host_ = options_.host_;
  own_.zone_ = options_.zone_;
  own_.region_ = options_.region_;
  own_.peerAddress_ = options_.address_;
  own_.incarnation_ = options_.incarnation_;
}

void PeerTable::OnMembers(const std::vector<PeerMember>& aMembers,
                          TimePoint aNow)
{
  std::vector<PeerMember> members = aMembers;
  std::shuffle(members.begin(), members.end(), random_);
  // Process the own zone first, so that its hosts don't count towards the limit
  // for other zones.
  std::stable_partition(
    members.begin(), members.end(), [this](const PeerMember& aMember) {
      return aMember.zone_ == options_.zone_;
    });
  for (const PeerMember& member : members) {
    const bool known = entries_.contains(member.host_);
    if (member.host_ == options_.host_ || member.address_.empty() ||
        (!known && !HasCapacityFor(member.zone_))) {
      continue;
    }
    Entry& entry = entries_[member.host_];
    hostsInScope_ += !known && member.zone_ == options_.zone_ ? 1 : 0;
    entry.lastListed_ = aNow;
    if (entry.member_.host_.empty() ||
        member.incarnation_ > entry.member_.incarnation_) {
      entry.member_ = member;
    }
  }
}

void PeerTable::BeginRound(Digest aOwn, TimePoint aNow)
{
  // While this process was suspended it received no digests, so the gap must
  // not count towards the failure timeout of its peers. Without this adjustment
  // a resumed host would consider all its peers failed and, for one round, use
  // the whole limit of each team by itself.
  const auto gap = aNow - lastRound_;
  if (rounds_ > 0 && gap > 2 * Round()) {
    for (auto& [name, entry] : entries_) {
      entry.lastHeard_ += gap - Round();
    }
  }
  lastRound_ = aNow;
  ++rounds_;
  hostsInScope_ = CountInScope();
  aOwn.host_ = own_.host_;
  aOwn.zone_ = own_.zone_;
  aOwn.region_ = own_.region_;
  aOwn.peerAddress_ = own_.peerAddress_;
  aOwn.incarnation_ = own_.incarnation_;
  aOwn.sequence_ = own_.sequence_;
  aOwn.zoneHostCount_ = ZoneHosts()[own_.zone_] + 1;
  if (!EqualIgnoringDemand(aOwn, own_) ||
      aNow - lastHeartbeat_ >= Heartbeat()) {
    ++aOwn.sequence_;
    lastHeartbeat_ = aNow;
  }
  own_ = std::move(aOwn);
  EvictExpired(aNow);
}

std::vector<PeerMember> PeerTable::SelectPeers()
{
  std::vector<const Entry*> inScope;
  std::vector<const Entry*> outOfScope;
  for (const auto& [name, entry] : entries_) {
    (InScope(entry.member_.zone_) ? inScope : outOfScope).push_back(&entry);
  }
  std::vector<PeerMember> picked;
  SelectRandomPeer(inScope, picked);
  if (IsSmall()) {
    for (std::size_t partner = 1; partner < options_.roundFanout_; ++partner) {
      SelectRandomPeer(inScope, picked);
    }
  } else if (rounds_ % kRoundsPerOutOfZonePeer == 0) {
    SelectRandomPeer(outOfScope, picked);
  }
  return picked;
}

std::vector<PeerMember> PeerTable::SelectOutdatedPeers(std::size_t aCount)
{
  std::vector<const Entry*> outdated;
  for (const auto& [name, entry] : entries_) {
    if (entry.digest_.generation_ < own_.generation_) {
      outdated.push_back(&entry);
    }
  }
  std::vector<PeerMember> picked;
  for (std::size_t count = 0; count < aCount; ++count) {
    SelectRandomPeer(outdated, picked);
  }
  return picked;
}

std::vector<PeerMember> PeerTable::SelectPeersInScope(std::size_t aCount)
{
  std::vector<PeerMember> inScope;
  for (const auto& [name, entry] : entries_) {
    if (InScope(entry.member_.zone_) && IsLive(entry, lastRound_)) {
      inScope.push_back(entry.member_);
    }
  }
  std::shuffle(inScope.begin(), inScope.end(), random_);
  inScope.resize(std::min(inScope.size(), aCount));
  return inScope;
}

void PeerTable::SelectRandomPeer(const std::vector<const Entry*>& aFrom,
                                 std::vector<PeerMember>& aPicked)
{
  if (aFrom.empty()) {
    return;
  }
  const PeerMember& member = aFrom[random_() % aFrom.size()]->member_;
  const bool alreadyPicked =
    std::any_of(aPicked.begin(), aPicked.end(), [&](const PeerMember& aOther) {
      return aOther.host_ == member.host_;
    });
  if (!alreadyPicked) {
    aPicked.push_back(member);
  }
}

PeerMessage PeerTable::MakeMessage(const std::string& aZone)
{
  PeerMessage message{ .from_ = own_ };
  if (!InScope(aZone)) {
    return message;
  }
  std::vector<Entry*> candidates;
  for (auto& [name, entry] : entries_) {
    if (!entry.digest_.host_.empty() && InScope(entry.member_.zone_) &&
        IsLive(entry, lastRound_)) {
      candidates.push_back(&entry);
    }
  }
  const std::size_t count =
    std::min(candidates.size(), options_.relayedPerMessage_);
  std::shuffle(candidates.begin(), candidates.end(), random_);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Entry* aLeft, const Entry* aRight) {
                      return aLeft->relayCount_ < aRight->relayCount_;
                    });
  for (std::size_t index = 0; index < count; ++index) {
    ++candidates[index]->relayCount_;
    message.relayed_.push_back(candidates[index]->digest_);
  }
  return message;
}

PeerMergeResult PeerTable::OnMessage(const PeerMessage& aMessage,
                                     TimePoint aNow)
{
  PeerMergeResult news{ .generation_ = aMessage.from_.generation_ };
  news.changed_ = MergeDigest(aMessage.from_, aNow);
  for (const Digest& digest : aMessage.relayed_) {
    news.changed_ = MergeDigest(digest, aNow) || news.changed_;
  }
  return news;
}

bool PeerTable::MergeDigest(const Digest& aDigest, TimePoint aNow)
{
  if (aDigest.host_.empty() || aDigest.host_ == options_.host_) {
    return false;
  }
  if (!entries_.contains(aDigest.host_) && !HasCapacityFor(aDigest.zone_)) {
    return false;
  }
  Entry& entry = entries_[aDigest.host_];
  if (!entry.digest_.host_.empty() && !IsNewer(aDigest, entry.digest_)) {
    return false;
  }
  entry.digest_ = aDigest;
  entry.member_ = { .host_ = aDigest.host_,
                    .zone_ = aDigest.zone_,
                    .region_ = aDigest.region_,
                    .address_ = aDigest.peerAddress_,
                    .incarnation_ = aDigest.incarnation_ };
  entry.lastHeard_ = aNow;
  entry.relayCount_ = 0;
  return true;
}

void PeerTable::OnHeard(const std::string& aHost, TimePoint aNow)
{
  const auto found = entries_.find(aHost);
  if (found != entries_.end()) {
    found->second.lastHeard_ = std::max(found->second.lastHeard_, aNow);
  }
}

std::vector<Digest> PeerTable::Live(TimePoint aNow) const
{
  std::vector<Digest> live;
  for (const auto& [name, entry] : entries_) {
    if (IsLive(entry, aNow)) {
      live.push_back(entry.digest_);
    }
  }
  return live;
}

std::vector<PeerMember> PeerTable::Known() const
{
  std::vector<PeerMember> known;
  for (const auto& [name, entry] : entries_) {
    known.push_back(entry.member_);
  }
  return known;
}

std::vector<PeerMember> PeerTable::RecentlyHeard(TimePoint aNow) const
{
  std::vector<PeerMember> heard;
  for (const auto& [name, entry] : entries_) {
    if (!entry.digest_.host_.empty() &&
        aNow - entry.lastHeard_ < kRecentlyHeardHeartbeats * Heartbeat()) {
      heard.push_back(entry.member_);
    }
  }
  return heard;
}

std::map<std::string, std::size_t> PeerTable::ZoneHosts() const
{
  std::map<std::string, std::size_t> hosts;
  for (const auto& [name, entry] : entries_) {
    ++hosts[entry.member_.zone_];
  }
  return hosts;
}

std::size_t PeerTable::EstimateOtherHosts() const
{
  const std::map<std::string, std::size_t> known = ZoneHosts();
  std::map<std::string, std::size_t> reported;
  for (const auto& [name, entry] : entries_) {
    std::size_t& largest = reported[entry.member_.zone_];
    largest = std::max(largest, entry.digest_.zoneHostCount_);
  }
  std::size_t size = 0;
  for (const auto& [zone, count] : known) {
    if (IsSmall() || zone == options_.zone_) {
      size += count;
      continue;
    }
    // Until one of its hosts has reported a count, a zone is assumed to be as
    // large as the own one.
    const std::size_t reportedHosts =
      reported[zone] > 0 ? reported[zone] : own_.zoneHostCount_;
    size += std::max(count, reportedHosts);
  }
  return size;
}

bool PeerTable::InScope(const std::string& aZone) const
{
  return IsSmall() || aZone == options_.zone_;
}

std::size_t PeerTable::CountInScope() const
{
  return static_cast<std::size_t>(
    std::count_if(entries_.begin(), entries_.end(), [this](const auto& aEntry) {
      return InScope(aEntry.second.member_.zone_);
    }));
}

bool PeerTable::HasCapacityFor(const std::string& aZone) const
{
  return aZone == options_.zone_ || entries_.size() < kSmallFleet ||
         entries_.size() - hostsInScope_ < kMaxOutOfZonePeers;
}

milliseconds PeerTable::Heartbeat() const
{
  const auto rounds = static_cast<int>(hostsInScope_ / kHeartbeatsPerRound);
  return std::max(Round(), options_.round_ * rounds);
}

bool PeerTable::IsLive(const Entry& aEntry, TimePoint aNow) const
{
  return !aEntry.digest_.host_.empty() &&
         aNow - aEntry.lastHeard_ < options_.roundsUntilExpired_ * Heartbeat();
}

void PeerTable::EvictExpired(TimePoint aNow)
{
  const auto keep =
    kRetentionFactor * options_.roundsUntilExpired_ * Heartbeat();
  std::erase_if(entries_, [&](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    return aNow - std::max(entry.lastHeard_, entry.lastListed_) > keep;
  });
}

} // namespace gooseberrylift
