#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// What is left of a backlog after a while of work on it.
microseconds After(microseconds aBacklog, TimePoint::duration aWhile)
{
  return std::max(aBacklog - duration_cast<microseconds>(aWhile),
                  microseconds(0));
}

// A prompt whose first token has not come is not read yet, however long ago it
// was sent: other reads went first, or a pass took longer. This part of its
// read is counted until then; with none, short requests were sent behind reads
// that seemed done.
constexpr int kUnreadPart = 2; // a half

} // namespace

void FleetLoad::OnSent(const std::string& aEndpoint,
                       std::uint64_t aRequest,
                       const RequestCost& aCost,
                       TimePoint aNow)
{
  Own& own = own_[aEndpoint];
  if (own.requests_.empty()) {
    own.heard_ = aNow;
  }
  own.requests_[aRequest] = { .cost_ = aCost, .at_ = aNow };
}

void FleetLoad::OnStarted(const std::string& aEndpoint,
                          std::uint64_t aRequest,
                          TimePoint aNow)
{
  Own& own = own_[aEndpoint];
  own.heard_ = aNow;
  const auto found = own.requests_.find(aRequest);
  if (found == own.requests_.end()) {
    return;
  }
  Sent& sent = found->second;
  sent.started_ = true;
  if (!sent.cost_.helping_) {
    TimePoint& latest = own.latestBegun_.at(sent.cost_.deferred_ ? 1 : 0);
    latest = std::max(latest, sent.at_);
  }
}

bool FleetLoad::IsOvertaken(const std::string& aEndpoint,
                            std::uint64_t aRequest) const
{
  const auto own = own_.find(aEndpoint);
  if (own == own_.end()) {
    return false;
  }
  const auto sent = own->second.requests_.find(aRequest);
  if (sent == own->second.requests_.end()) {
    return false;
  }
  const auto& [urgent, deferred] = own->second.latestBegun_;
  const bool yields = sent->second.cost_.deferred_;
  return std::max(deferred, yields ? TimePoint{} : urgent) > sent->second.at_;
}

void FleetLoad::OnEnded(const std::string& aEndpoint, std::uint64_t aRequest)
{
  const auto found = own_.find(aEndpoint);
  if (found == own_.end()) {
    return;
  }
  found->second.requests_.erase(aRequest);
  if (found->second.requests_.empty()) {
    own_.erase(found);
  }
}

void FleetLoad::OnReborn(const std::string& aEndpoint)
{
  own_.erase(aEndpoint);
  shares_.erase(aEndpoint);
}

void FleetLoad::OnHeard(const std::string& aEndpoint, TimePoint aNow)
{
  const auto found = own_.find(aEndpoint);
  if (found != own_.end()) {
    found->second.heard_ = aNow;
  }
}

void FleetLoad::OnPeer(const std::string& aHost,
                       std::vector<EndpointShare> aShares,
                       TimePoint aAt)
{
  Peer& peer = peers_[aHost];
  if (aAt < peer.at_) {
    return; // words may overtake each other
  }
  for (const std::string& endpoint : peer.endpoints_) {
    shares_[endpoint].erase(aHost);
  }
  peer = { .at_ = aAt };
  Put(aHost, std::move(aShares), aAt);
}

void FleetLoad::OnMoreOfPeer(const std::string& aHost,
                             std::vector<EndpointShare> aShares)
{
  Put(aHost, std::move(aShares), peers_[aHost].at_);
}

void FleetLoad::OnChangeOfPeer(const std::string& aHost,
                               std::vector<EndpointShare> aShares,
                               TimePoint aAt)
{
  Peer& peer = peers_[aHost];
  peer.at_ = std::max(peer.at_, aAt);
  Put(aHost, std::move(aShares), aAt);
}

void FleetLoad::Put(const std::string& aHost,
                    std::vector<EndpointShare> aShares,
                    TimePoint aAt)
{
  Peer& peer = peers_[aHost];
  for (EndpointShare& share : aShares) {
    peer.endpoints_.insert(share.id_);
    PeerShare& kept = shares_[share.id_][aHost];
    kept = { .share_ = std::move(share), .at_ = aAt, .peer_ = &peer };
  }
}

bool FleetLoad::Counts(const PeerShare& aSaid, TimePoint aNow) const
{
  return aNow - aSaid.peer_->at_ < options_.forgetPeer_;
}

EndpointShare FleetLoad::ShareOf(const std::string& aId,
                                 const Own& aOwn,
                                 TimePoint aNow)
{
  EndpointShare share{ .id_ = aId,
                       .silent_ = duration_cast<std::chrono::milliseconds>(
                         aNow - aOwn.heard_) };
  TimePoint oldestRead = aNow;
  microseconds unread(0);
  for (const auto& [request, sent] : aOwn.requests_) {
    share.memoryTokens_ += sent.cost_.memoryTokens_;
    if (!sent.cost_.helping_) {
      share.running_ += 1;
      share.tight_ += sent.cost_.tight_ ? 1 : 0;
    }
    if (!sent.started_) {
      share.deferred_ += sent.cost_.deferred_ ? 1 : 0;
      share.backlog_ += sent.cost_.read_;
      unread += sent.cost_.read_ / kUnreadPart;
      oldestRead = std::min(oldestRead, sent.at_);
    }
  }
  // An engine reads its prompts one after the other, so the time since the
  // oldest was sent is taken from the sum once.
  share.backlog_ = std::max(After(share.backlog_, aNow - oldestRead), unread);
  return share;
}

EndpointLoad FleetLoad::Of(const std::string& aEndpoint, TimePoint aNow) const
{
  EndpointLoad load;
  const auto add = [&load](const EndpointShare& aShare,
                           TimePoint::duration aAge) {
    load.running_ += aShare.running_;
    load.tight_ += aShare.tight_;
    load.memoryTokens_ += aShare.memoryTokens_;
    load.backlog_ += After(aShare.backlog_, aAge);
    load.deferred_ += aShare.deferred_;
  };
  const auto own = own_.find(aEndpoint);
  if (own != own_.end()) {
    add(ShareOf(aEndpoint, own->second, aNow), TimePoint::duration(0));
  }
  const auto peers = shares_.find(aEndpoint);
  if (peers == shares_.end()) {
    return load;
  }
  for (const auto& [host, said] : peers->second) {
    if (Counts(said, aNow)) {
      add(said.share_, aNow - said.at_);
    }
  }
  return load;
}

std::vector<EndpointShare> FleetLoad::Sum(
  const std::function<bool(const std::string& aHost)>& aCounts,
  TimePoint aNow) const
{
  std::map<std::string, EndpointShare> sums;
  const auto add = [&sums](const EndpointShare& aShare,
                           TimePoint::duration aAge) {
    const auto silent =
      aShare.silent_ + duration_cast<std::chrono::milliseconds>(aAge);
    const auto [sum, isFirst] = sums.try_emplace(
      aShare.id_, EndpointShare{ .id_ = aShare.id_, .silent_ = silent });
    EndpointShare& share = sum->second;
    share.running_ += aShare.running_;
    share.tight_ += aShare.tight_;
    share.memoryTokens_ += aShare.memoryTokens_;
    share.backlog_ += After(aShare.backlog_, aAge);
    share.deferred_ += aShare.deferred_;
    share.silent_ = std::min(share.silent_, silent);
  };
  for (const EndpointShare& own : OwnShares(aNow)) {
    add(own, TimePoint::duration(0));
  }
  for (const auto& [endpoint, peers] : shares_) {
    for (const auto& [host, said] : peers) {
      if (Counts(said, aNow) && aCounts(host)) {
        add(said.share_, aNow - said.at_);
      }
    }
  }
  std::vector<EndpointShare> all;
  all.reserve(sums.size());
  for (auto& [endpoint, share] : sums) {
    all.push_back(std::move(share));
  }
  return all;
}

std::optional<std::chrono::milliseconds> FleetLoad::SilentToPeersFor(
  const std::string& aEndpoint,
  TimePoint aNow) const
{
  std::optional<std::chrono::milliseconds> silent;
  const auto peers = shares_.find(aEndpoint);
  if (peers == shares_.end()) {
    return silent;
  }
  for (const auto& [host, said] : peers->second) {
    if (!Counts(said, aNow)) {
      continue;
    }
    const auto since =
      said.share_.silent_ +
      duration_cast<std::chrono::milliseconds>(aNow - said.at_);
    silent = std::min(silent.value_or(since), since);
  }
  return silent;
}

EndpointShare FleetLoad::OwnShare(const std::string& aEndpoint,
                                  TimePoint aNow) const
{
  const auto own = own_.find(aEndpoint);
  return own == own_.end() ? EndpointShare{ .id_ = aEndpoint }
                           : ShareOf(aEndpoint, own->second, aNow);
}

std::vector<EndpointShare> FleetLoad::OwnShares(TimePoint aNow) const
{
  std::vector<EndpointShare> shares;
  shares.reserve(own_.size());
  for (const auto& [id, own] : own_) {
    shares.push_back(ShareOf(id, own, aNow));
  }
  return shares;
}

std::chrono::milliseconds FleetLoad::SilentFor(const std::string& aEndpoint,
                                               TimePoint aNow) const
{
  const auto own = own_.find(aEndpoint);
  if (own == own_.end()) {
    return std::chrono::milliseconds(0);
  }
  return duration_cast<std::chrono::milliseconds>(aNow - own->second.heard_);
}

} // namespace gooseberrylift
