#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// Returns the backlog that remains after an engine of the given pace has worked
// on it for a while.
microseconds RemainingBacklog(microseconds aBacklog,
                              TimePoint::duration aElapsed,
                              double aPace)
{
  auto done = duration_cast<microseconds>(aElapsed);
  if (aPace > 1) {
    done = duration_cast<microseconds>(done / aPace);
  }
  return std::max(aBacklog - done, microseconds(0));
}

bool HasLoad(const EndpointShare& aShare)
{
  return aShare.running_ > 0 || aShare.memoryTokens_ > 0 ||
         aShare.backlog_.count() > 0;
}

// Votes of this host's own observation if it is certain; every other host has
// one.
constexpr int kCertainPaceVotes = 2;

// An endpoint that has sent nothing for this multiple of the longest predicted
// time counts as slow before its next event shows it. Higher than the
// tolerance, since a pass with a prefill that isn't known yet ends soon.
constexpr double kOverdueFactor = 2;

// Until its first token arrives, a prompt counts with at least its prefill time
// divided by this, however long ago it was sent: other prompts may have been
// prefilled first, or a pass may have taken longer. Without this lower bound,
// short requests were sent behind prefills that seemed complete.
constexpr int kMinBacklogDivisor = 2; // one half

} // namespace

void FleetLoad::OnSent(const std::string& aEndpoint,
                       std::uint64_t aRequest,
                       const RequestCost& aCost,
                       TimePoint aNow)
{
  LocalLoad& own = local_[aEndpoint];
  if (own.requests_.empty()) {
    own.lastHeard_ = aNow;
  }
  own.requests_[aRequest] = { .cost_ = aCost, .at_ = aNow };
}

void FleetLoad::OnStarted(const std::string& aEndpoint,
                          std::uint64_t aRequest,
                          TimePoint aNow)
{
  LocalLoad& own = local_[aEndpoint];
  own.lastHeard_ = aNow;
  const auto found = own.requests_.find(aRequest);
  if (found == own.requests_.end()) {
    return;
  }
  SentRequest& sent = found->second;
  sent.started_ = true;
  if (!sent.cost_.isHelper_) {
    TimePoint& latest = own.latestStarted_.at(sent.cost_.deferred_ ? 1 : 0);
    latest = std::max(latest, sent.at_);
  }
}

void FleetLoad::ExpectFirst(const std::string& aEndpoint,
                            std::uint64_t aRequest,
                            const std::vector<std::string>& aHelpers,
                            const NominalTime& aFirst,
                            TimePoint aNow)
{
  SentRequest& sent = local_[aEndpoint].requests_[aRequest];
  sent.expected_ = aFirst;
  sent.expectedSince_ = aNow;
  sent.prefilledBy_ = { aEndpoint };
  sent.prefilledBy_.insert(
    sent.prefilledBy_.end(), aHelpers.begin(), aHelpers.end());
}

void FleetLoad::OnEvents(const std::string& aEndpoint,
                         std::uint64_t aRequest,
                         std::size_t aEvents,
                         const EngineProfile& aProfile,
                         TimePoint aNow)
{
  const auto own = local_.find(aEndpoint);
  if (aEvents == 0 || own == local_.end()) {
    return;
  }
  const auto found = own->second.requests_.find(aRequest);
  if (found == own->second.requests_.end()) {
    return;
  }
  SentRequest& sent = found->second;
  const auto elapsed = duration_cast<microseconds>(aNow - sent.expectedSince_);
  if (sent.prefilledBy_.empty()) {
    // Events that arrive together were delayed on their way.
    pace_.OnObserved(aEndpoint,
                     sent.expected_,
                     elapsed / static_cast<std::int64_t>(aEvents),
                     aNow);
  } else {
    pace_.OnSharedWorkObserved(
      sent.prefilledBy_, sent.expected_, elapsed, aNow);
  }
  sent.prefilledBy_.clear();
  sent.expected_ = NominalGap(aProfile, Of(aEndpoint, aNow));
  sent.expectedSince_ = aNow;
}

// Returns how slow an endpoint is at least if none of its events arrived for
// longer than predicted; 0 if that may still be usual.
int FleetLoad::OverduePercent(const LocalLoad& aOwn, TimePoint aNow) const
{
  double longest = 0;
  for (const auto& [request, sent] : aOwn.requests_) {
    // Of a shared prefill, any engine may be the slow one.
    if (sent.expected_.shortest_ >= EndpointPace::kMinWork &&
        sent.prefilledBy_.size() <= 1) {
      const auto silent = aNow - std::max(aOwn.lastHeard_, sent.expectedSince_);
      longest =
        std::max(longest,
                 std::chrono::duration<double>(silent) /
                   std::chrono::duration<double>(sent.expected_.longest_));
    }
  }
  longest /= pace_.HostRatio();
  return longest < kOverdueFactor ? 0
                                  : static_cast<int>(std::min<double>(
                                      longest * EndpointPace::kUsualPercent,
                                      EndpointPace::kMaxPercent));
}

bool FleetLoad::IsOvertaken(const std::string& aEndpoint,
                            std::uint64_t aRequest) const
{
  const auto own = local_.find(aEndpoint);
  if (own == local_.end()) {
    return false;
  }
  const auto sent = own->second.requests_.find(aRequest);
  if (sent == own->second.requests_.end()) {
    return false;
  }
  const auto& [urgent, deferred] = own->second.latestStarted_;
  const bool yields = sent->second.cost_.deferred_;
  return std::max(deferred, yields ? TimePoint{} : urgent) > sent->second.at_;
}

void FleetLoad::OnEnded(const std::string& aEndpoint, std::uint64_t aRequest)
{
  const auto found = local_.find(aEndpoint);
  if (found == local_.end()) {
    return;
  }
  found->second.requests_.erase(aRequest);
  if (found->second.requests_.empty()) {
    local_.erase(found);
  }
}

void FleetLoad::OnRestarted(const std::string& aEndpoint)
{
  local_.erase(aEndpoint);
  shares_.erase(aEndpoint);
  pace_.OnRestarted(aEndpoint);
}

void FleetLoad::OnDataReceived(const std::string& aEndpoint, TimePoint aNow)
{
  const auto found = local_.find(aEndpoint);
  if (found != local_.end()) {
    found->second.lastHeard_ = aNow;
  }
}

void FleetLoad::OnPeerSnapshot(const std::string& aHost,
                               std::vector<EndpointShare> aShares,
                               TimePoint aAt)
{
  Peer& peer = peers_[aHost];
  if (aAt < peer.at_) {
    return; // messages may arrive out of order
  }
  for (const std::string& endpoint : peer.endpoints_) {
    shares_[endpoint].erase(aHost);
  }
  peer = { .at_ = aAt };
  StorePeerShares(aHost, std::move(aShares), aAt);
}

void FleetLoad::OnPeerSnapshotContinued(const std::string& aHost,
                                        std::vector<EndpointShare> aShares)
{
  StorePeerShares(aHost, std::move(aShares), peers_[aHost].at_);
}

void FleetLoad::OnPeerDelta(const std::string& aHost,
                            std::vector<EndpointShare> aShares,
                            TimePoint aAt)
{
  Peer& peer = peers_[aHost];
  peer.at_ = std::max(peer.at_, aAt);
  StorePeerShares(aHost, std::move(aShares), aAt);
}

void FleetLoad::StorePeerShares(const std::string& aHost,
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

bool FleetLoad::IsCurrent(const PeerShare& aReported, TimePoint aNow) const
{
  return aNow - aReported.peer_->at_ < options_.peerTimeout_;
}

EndpointShare FleetLoad::ShareOf(const std::string& aId,
                                 const LocalLoad& aOwn,
                                 double aPace,
                                 TimePoint aNow) const
{
  EndpointShare share{ .id_ = aId,
                       .silent_ = duration_cast<std::chrono::milliseconds>(
                         aNow - aOwn.lastHeard_),
                       .pacePercent_ = std::max(pace_.PercentOf(aId, aNow),
                                                OverduePercent(aOwn, aNow)) };
  TimePoint oldestSent = aNow;
  microseconds minBacklog(0);
  for (const auto& [request, sent] : aOwn.requests_) {
    share.memoryTokens_ += sent.cost_.memoryTokens_;
    if (!sent.cost_.isHelper_) {
      share.running_ += 1;
      share.tightGap_ += sent.cost_.tightGap_ ? 1 : 0;
    }
    if (!sent.started_) {
      share.deferred_ += sent.cost_.deferred_ ? 1 : 0;
      share.backlog_ += sent.cost_.prefill_;
      minBacklog += sent.cost_.prefill_ / kMinBacklogDivisor;
      oldestSent = std::min(oldestSent, sent.at_);
    }
  }
  // An engine prefills its prompts one after another, so the time since the
  // oldest was sent is subtracted from the sum only once.
  share.backlog_ = std::max(
    RemainingBacklog(share.backlog_, aNow - oldestSent, aPace), minBacklog);
  return share;
}

EndpointLoad FleetLoad::Of(const std::string& aEndpoint, TimePoint aNow) const
{
  const LocalLoad* own = FindLocalLoad(aEndpoint);
  const PeerShares* peers = FindPeerShares(aEndpoint);
  EndpointLoad load{ .pace_ = CombinedPace(aEndpoint, own, peers, aNow) };
  const auto add = [&load](const EndpointShare& aShare,
                           TimePoint::duration aAge) {
    load.running_ += aShare.running_;
    load.tightGap_ += aShare.tightGap_;
    load.memoryTokens_ += aShare.memoryTokens_;
    load.backlog_ += RemainingBacklog(aShare.backlog_, aAge, load.pace_);
    load.deferred_ += aShare.deferred_;
  };
  if (own != nullptr) {
    add(ShareOf(aEndpoint, *own, load.pace_, aNow), TimePoint::duration(0));
  }
  if (peers == nullptr) {
    return load;
  }
  for (const auto& [host, reported] : *peers) {
    if (IsCurrent(reported, aNow)) {
      add(reported.share_, aNow - reported.at_);
    }
  }
  return load;
}

const FleetLoad::LocalLoad* FleetLoad::FindLocalLoad(
  const std::string& aEndpoint) const
{
  const auto found = local_.find(aEndpoint);
  return found == local_.end() ? nullptr : &found->second;
}

const FleetLoad::PeerShares* FleetLoad::FindPeerShares(
  const std::string& aEndpoint) const
{
  const auto found = shares_.find(aEndpoint);
  return found == shares_.end() ? nullptr : &found->second;
}

void FleetLoad::AddPeerVotes(const PeerShares& aShares,
                             TimePoint aNow,
                             PaceVotes& aVotes) const
{
  for (const auto& [host, reported] : aShares) {
    if (reported.share_.pacePercent_ > 0 &&
        aNow - reported.at_ < options_.maxPaceAge_) {
      aVotes.Add(reported.share_.pacePercent_);
    }
  }
}

// Called for each endpoint at each placement, so that the usual case, in which
// nobody reports a slow endpoint, only looks at the peers' shares.
double FleetLoad::CombinedPace(const std::string& aEndpoint,
                               const LocalLoad* aOwn,
                               const PeerShares* aShares,
                               TimePoint aNow) const
{
  // A usual engine has one vote: a single peer's report isn't enough.
  PaceVotes votes;
  votes.Add(EndpointPace::kUsualPercent);
  if (aShares != nullptr) {
    AddPeerVotes(*aShares, aNow, votes);
  }
  const int overdue = aOwn == nullptr ? 0 : OverduePercent(*aOwn, aNow);
  if (!votes.HasSlow() && !pace_.MayHaveSlow(aNow) && overdue == 0) {
    return 1;
  }
  const int observed = pace_.PercentOf(aEndpoint, aNow);
  if (overdue > observed) {
    votes.Add(overdue);
  } else {
    votes.Add(observed, pace_.IsCertain(aEndpoint) ? kCertainPaceVotes : 1);
  }
  return 1.0 * votes.Median() / EndpointPace::kUsualPercent;
}

double FleetLoad::CombinedPace(const std::string& aEndpoint,
                               TimePoint aNow) const
{
  return CombinedPace(
    aEndpoint, FindLocalLoad(aEndpoint), FindPeerShares(aEndpoint), aNow);
}

std::map<std::string, int> FleetLoad::SlowEndpoints(TimePoint aNow) const
{
  std::map<std::string, int> slow;
  const auto add = [&](const std::string& aEndpoint) {
    const double pace = CombinedPace(aEndpoint, aNow);
    if (pace > 1) {
      slow[aEndpoint] = static_cast<int>(pace * EndpointPace::kUsualPercent);
    }
  };
  for (const std::string& endpoint : pace_.SlowEndpoints(aNow)) {
    add(endpoint);
  }
  for (const auto& [endpoint, shares] : shares_) {
    add(endpoint);
  }
  return slow;
}

std::vector<EndpointShare> FleetLoad::Sum(
  const std::function<bool(const std::string& aHost)>& aIncludes,
  TimePoint aNow) const
{
  std::map<std::string, EndpointShare> sums;
  std::map<std::string, PaceVotes> votes;
  const auto add = [&](const EndpointShare& aShare, TimePoint::duration aAge) {
    const auto silent =
      aShare.silent_ + duration_cast<std::chrono::milliseconds>(aAge);
    const auto [sum, isFirst] = sums.try_emplace(
      aShare.id_, EndpointShare{ .id_ = aShare.id_, .silent_ = silent });
    EndpointShare& share = sum->second;
    share.running_ += aShare.running_;
    share.tightGap_ += aShare.tightGap_;
    share.memoryTokens_ += aShare.memoryTokens_;
    share.backlog_ +=
      RemainingBacklog(aShare.backlog_,
                       aAge,
                       1.0 * aShare.pacePercent_ / EndpointPace::kUsualPercent);
    share.deferred_ += aShare.deferred_;
    if (aAge < options_.maxPaceAge_) {
      votes[aShare.id_].Add(aShare.pacePercent_);
    }
    share.silent_ = std::min(share.silent_, silent);
  };
  for (const EndpointShare& own : OwnShares(aNow)) {
    add(own, TimePoint::duration(0));
  }
  for (const auto& [endpoint, peers] : shares_) {
    for (const auto& [host, reported] : peers) {
      if (IsCurrent(reported, aNow) && aIncludes(host)) {
        add(reported.share_, aNow - reported.at_);
      }
    }
  }
  std::vector<EndpointShare> all;
  all.reserve(sums.size());
  for (auto& [endpoint, share] : sums) {
    share.pacePercent_ = votes[endpoint].Median();
    all.push_back(std::move(share));
  }
  return all;
}

std::optional<std::chrono::milliseconds> FleetLoad::ShortestPeerSilence(
  const std::string& aEndpoint,
  TimePoint aNow) const
{
  std::optional<std::chrono::milliseconds> silent;
  const auto peers = shares_.find(aEndpoint);
  if (peers == shares_.end()) {
    return silent;
  }
  for (const auto& [host, reported] : peers->second) {
    const bool isPaceOnly =
      reported.share_.pacePercent_ > 0 && !HasLoad(reported.share_);
    if (!IsCurrent(reported, aNow) || isPaceOnly) {
      continue;
    }
    const auto since =
      reported.share_.silent_ +
      duration_cast<std::chrono::milliseconds>(aNow - reported.at_);
    silent = std::min(silent.value_or(since), since);
  }
  return silent;
}

EndpointShare FleetLoad::OwnShare(const std::string& aEndpoint,
                                  TimePoint aNow) const
{
  const auto own = local_.find(aEndpoint);
  return own == local_.end()
           ? EndpointShare{ .id_ = aEndpoint,
                            .pacePercent_ = pace_.PercentOf(aEndpoint, aNow) }
           : ShareOf(
               aEndpoint, own->second, CombinedPace(aEndpoint, aNow), aNow);
}

std::vector<EndpointShare> FleetLoad::OwnShares(TimePoint aNow) const
{
  std::vector<EndpointShare> shares;
  shares.reserve(local_.size());
  for (const auto& [id, own] : local_) {
    shares.push_back(ShareOf(id, own, CombinedPace(id, aNow), aNow));
  }
  // Other hosts would place requests there as soon as this host's end.
  for (const std::string& id : pace_.SlowEndpoints(aNow)) {
    if (!local_.contains(id)) {
      shares.push_back(OwnShare(id, aNow));
    }
  }
  return shares;
}

std::chrono::milliseconds FleetLoad::SilentFor(const std::string& aEndpoint,
                                               TimePoint aNow) const
{
  const auto own = local_.find(aEndpoint);
  if (own == local_.end()) {
    return std::chrono::milliseconds(0);
  }
  return duration_cast<std::chrono::milliseconds>(aNow -
                                                  own->second.lastHeard_);
}

} // namespace gooseberrylift
