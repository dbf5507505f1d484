#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// Endpoints that send nothing at all for longer have stood still.
constexpr std::chrono::milliseconds kMaxDataGap{ 500 };

// Endpoints that stood still for a common reason resume within this time.
constexpr std::chrono::milliseconds kMinResponding{ 250 };

// Returns the backlog that remains after an engine has worked on it for a
// while.
microseconds RemainingBacklog(microseconds aBacklog,
                              TimePoint::duration aElapsed)
{
  return std::max(aBacklog - duration_cast<microseconds>(aElapsed),
                  microseconds(0));
}

// Returns whether a host has requests at an endpoint, rather than only
// rejections or a backoff to report.
bool HasRequests(const EndpointShare& aShare)
{
  return aShare.running_ > 0 || aShare.memoryTokens_ > 0 ||
         aShare.backlog_.count() > 0 ||
         (aShare.rejections_ == 0 && aShare.backoff_.count() == 0);
}

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
  own.hasResponded_ = true;
  RecordData(aNow);
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
}

void FleetLoad::OnDataReceived(const std::string& aEndpoint, TimePoint aNow)
{
  const auto found = local_.find(aEndpoint);
  if (found != local_.end()) {
    found->second.lastHeard_ = aNow;
    found->second.hasResponded_ = true;
    RecordData(aNow);
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
                                 TimePoint aNow)
{
  EndpointShare share{ .id_ = aId,
                       .silent_ = duration_cast<std::chrono::milliseconds>(
                         aNow - aOwn.lastHeard_) };
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
  std::vector<QueuedPrefill> queue;
  AddUnstarted(aOwn, queue);
  SetUnstarted(queue, aNow, share);
  // An engine prefills its prompts one after another, so the time since the
  // oldest was sent is subtracted from the sum only once.
  share.backlog_ =
    std::max(RemainingBacklog(share.backlog_, aNow - oldestSent), minBacklog);
  return share;
}

// Returns when an engine finishes a queue that it works through in the order of
// sending.
TimePoint FleetLoad::FinishTime(std::vector<QueuedPrefill> aQueue)
{
  std::sort(aQueue.begin(),
            aQueue.end(),
            [](const QueuedPrefill& aLeft, const QueuedPrefill& aRight) {
              return aLeft.sentAt_ < aRight.sentAt_;
            });
  TimePoint done{};
  for (const QueuedPrefill& queued : aQueue) {
    done = std::max(done, queued.sentAt_) + queued.prefill_;
  }
  return done;
}

microseconds FleetLoad::OutstandingPrefill(
  const std::vector<QueuedPrefill>& aQueue,
  TimePoint aNow)
{
  microseconds minimum(0);
  for (const QueuedPrefill& queued : aQueue) {
    minimum += queued.minimum_;
  }
  if (aQueue.empty()) {
    return minimum;
  }
  return std::max(duration_cast<microseconds>(FinishTime(aQueue) - aNow),
                  minimum);
}

void FleetLoad::SetUnstarted(const std::vector<QueuedPrefill>& aQueue,
                             TimePoint aNow,
                             EndpointShare& aShare)
{
  if (aQueue.empty()) {
    return;
  }
  microseconds total(0);
  for (const QueuedPrefill& queued : aQueue) {
    total += queued.prefill_;
  }
  aShare.unstarted_ = std::chrono::ceil<std::chrono::milliseconds>(total);
  aShare.unstartedFor_ = std::max(
    duration_cast<std::chrono::milliseconds>(aNow - FinishTime(aQueue) + total),
    std::chrono::milliseconds(0));
}

void FleetLoad::AddUnstarted(const LocalLoad& aOwn,
                             std::vector<QueuedPrefill>& aQueue)
{
  for (const auto& [request, sent] : aOwn.requests_) {
    if (!sent.started_) {
      aQueue.push_back(
        { .sentAt_ = sent.at_,
          .prefill_ = sent.cost_.prefill_,
          .minimum_ = sent.cost_.prefill_ / kMinBacklogDivisor });
    }
  }
}

EndpointLoad FleetLoad::Of(const std::string& aEndpoint, TimePoint aNow) const
{
  EndpointLoad load;
  const auto add = [&load](const EndpointShare& aShare) {
    load.running_ += aShare.running_;
    load.tightGap_ += aShare.tightGap_;
    load.memoryTokens_ += aShare.memoryTokens_;
    load.deferred_ += aShare.deferred_;
  };
  std::vector<QueuedPrefill> queue;
  const auto own = local_.find(aEndpoint);
  if (own != local_.end()) {
    add(ShareOf(aEndpoint, own->second, aNow));
    AddUnstarted(own->second, queue);
  }
  const auto peers = shares_.find(aEndpoint);
  if (peers != shares_.end()) {
    for (const auto& [host, reported] : peers->second) {
      const EndpointShare& share = reported.share_;
      if (!IsCurrent(reported, aNow)) {
        continue;
      }
      add(share);
      if (share.unstarted_.count() > 0) {
        // The older the report, the likelier the first token has arrived.
        queue.push_back(
          { .sentAt_ = reported.at_ - share.unstartedFor_,
            .prefill_ = share.unstarted_,
            .minimum_ = RemainingBacklog(share.unstarted_ / kMinBacklogDivisor,
                                         aNow - reported.at_) });
      } else {
        // From a host of an earlier version, which reports only this.
        load.backlog_ += RemainingBacklog(share.backlog_, aNow - reported.at_);
      }
    }
  }
  if (!queue.empty()) {
    load.backlog_ += OutstandingPrefill(queue, aNow);
  }
  return load;
}

std::vector<EndpointShare> FleetLoad::Sum(
  const std::function<bool(const std::string& aHost)>& aIncludes,
  TimePoint aNow) const
{
  std::map<std::string, EndpointShare> sums;
  std::map<std::string, std::vector<QueuedPrefill>> queues;
  const auto add = [&](const EndpointShare& aShare, TimePoint::duration aAge) {
    const auto silent =
      aShare.silent_ + duration_cast<std::chrono::milliseconds>(aAge);
    const auto [sum, isFirst] = sums.try_emplace(
      aShare.id_, EndpointShare{ .id_ = aShare.id_, .silent_ = silent });
    EndpointShare& share = sum->second;
    share.running_ += aShare.running_;
    share.tightGap_ += aShare.tightGap_;
    share.memoryTokens_ += aShare.memoryTokens_;
    share.backlog_ += RemainingBacklog(aShare.backlog_, aAge);
    share.deferred_ += aShare.deferred_;
    share.silent_ = std::min(share.silent_, silent);
    if (aShare.unstarted_.count() > 0) {
      queues[aShare.id_].push_back(
        { .sentAt_ = aNow - aAge - aShare.unstartedFor_,
          .prefill_ = aShare.unstarted_,
          .minimum_ =
            RemainingBacklog(aShare.unstarted_ / kMinBacklogDivisor, aAge) });
    }
    // Hosts report the same rejections and backoffs, so these are not added up.
    share.rejections_ = std::max(share.rejections_, aShare.rejections_);
    share.backoff_ = std::max(share.backoff_,
                              aShare.backoff_ -
                                duration_cast<std::chrono::milliseconds>(aAge));
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
    // Without what has been done, because the age of the single reports would
    // be lost: receivers would take it for the age of the sum.
    share.unstarted_ = std::chrono::ceil<std::chrono::milliseconds>(
      OutstandingPrefill(queues[endpoint], aNow));
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
    if (!IsCurrent(reported, aNow) || !HasRequests(reported.share_)) {
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
  return own == local_.end() ? EndpointShare{ .id_ = aEndpoint }
                             : ShareOf(aEndpoint, own->second, aNow);
}

std::vector<EndpointShare> FleetLoad::OwnShares(TimePoint aNow) const
{
  std::vector<EndpointShare> shares;
  shares.reserve(local_.size());
  for (const auto& [id, own] : local_) {
    shares.push_back(ShareOf(id, own, aNow));
  }
  return shares;
}

bool FleetLoad::IsUnproven(const std::string& aEndpoint) const
{
  const auto own = local_.find(aEndpoint);
  return own != local_.end() && !own->second.hasResponded_;
}

void FleetLoad::RecordData(TimePoint aNow)
{
  if (aNow - lastDataAt_ > kMaxDataGap) {
    respondingSince_ = aNow;
  }
  lastDataAt_ = aNow;
}

bool FleetLoad::AreResponding(TimePoint aNow) const
{
  return aNow - lastDataAt_ <= kMaxDataGap &&
         aNow - respondingSince_ >= kMinResponding;
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
