#include "gooseberrylift/internal/gooseberrylift-fleet.h"

#include <algorithm>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-order.h"

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Weight of a new answer in the exponential moving average of a plain service's
// response time. The average adapts within about ten answers.
constexpr double kDurationSmoothing = 0.1;
// Assumed until the first answer arrives.
constexpr microseconds kInitialDuration{ 20'000 };

// An endpoint that has sent no data to any of this host's requests for longer
// is avoided: no engine pass takes that long, so it is hung or dead.
constexpr milliseconds kMaxSilence{ 1'000 };

} // namespace

struct Fleet::Shard
{
  std::mutex mutex_;
  FleetLoad load_{ FleetLoad::Options{} };
  OutlierDetector outlierDetector_{ OutlierDetector::Options{} };
  microseconds typicalDuration_ = kInitialDuration;
};

Fleet::Fleet(Options aOptions)
  : options_(std::move(aOptions))
  , peerVisibility_(PeerVisibility::Options{}, TimerService::Now())
  , directory_(EndpointDirectory::Options{})
{
}

Fleet::~Fleet() = default;

Fleet::Shard& Fleet::ShardOf(const std::string& aService)
{
  const std::lock_guard lock(shardsMutex_);
  auto& shard = shards_[aService];
  if (!shard) {
    shard = std::make_unique<Shard>();
  }
  return *shard;
}

void Fleet::OnListed(const ListedEndpoint& aListed)
{
  bool restarted = false;
  {
    const std::lock_guard lock(directoryMutex_);
    restarted = directory_.OnListed(aListed);
  }
  if (restarted) {
    ResetRestartedEndpoint(aListed);
  }
}

// Discards the load, silence and failures of an endpoint's previous
// incarnation. Otherwise the restarted endpoint would be avoided although it is
// idle.
void Fleet::ResetRestartedEndpoint(const ListedEndpoint& aRestarted)
{
  Log(LogEvent::kEndpointRestarted,
      { { "endpoint", aRestarted.id_ },
        { "born_ms", aRestarted.startTime_.time_since_epoch().count() } });
  if (options_.onRestarted_) {
    options_.onRestarted_(aRestarted.id_);
  }
  Shard& shard = ShardOf(aRestarted.service_);
  const std::lock_guard lock(shard.mutex_);
  shard.load_.OnRestarted(aRestarted.id_);
  shard.outlierDetector_.OnRestarted(aRestarted.id_);
}

// Creates the shards of services that a load message mentions, so that peer
// load is counted before this host's own first request to a service. Without
// that, all hosts of a large fleet sent their first requests to the same idle
// engines, and the first short requests of all hosts were late.
void Fleet::EnsureShards(const SharesByService& aShares)
{
  for (const auto& [service, shares] : aShares) {
    ShardOf(service);
  }
}

std::vector<ListedEndpoint> Fleet::Usable(const std::string& aService) const
{
  std::vector<ListedEndpoint> usable;
  for (const ListedEndpoint* listed : directory_.Usable(aService)) {
    usable.push_back(*listed);
  }
  return usable;
}

// Caches the order of engines, which changes only with the directory. A held
// prompt is placed again 25 times a second, and sorting hundreds of engines
// each time would use too much CPU on a small host.
Fleet::Endpoints Fleet::OrderedEndpoints(const FleetQuery& aQuery)
{
  const std::lock_guard lock(directoryMutex_);
  directory_.Sweep(TimerService::Now());
  if (!aQuery.engineProfile_) {
    // Without shuffling, hosts with the same view would all choose the first
    // endpoint.
    return std::make_shared<std::vector<ListedEndpoint>>(
      ShuffleEndpoints(Usable(aQuery.service_), aQuery.draw_));
  }
  EndpointOrder& order = endpointOrders_[aQuery.service_];
  if (!order.endpoints_ || order.directoryChanges_ != directory_.Changes()) {
    order.directoryChanges_ = directory_.Changes();
    order.endpoints_ = std::make_shared<std::vector<ListedEndpoint>>(
      OrderForHost(Usable(aQuery.service_), options_.host_, {}));
  }
  return order.endpoints_;
}

std::optional<FleetPlacement> Fleet::Place(FleetQuery aQuery)
{
  aQuery.request_.peerLoadUnknown_ = IsPeerLoadUnknown();
  aQuery.request_.draw_ = aQuery.draw_;
  const Endpoints ordered = OrderedEndpoints(aQuery);
  const std::vector<ListedEndpoint>& endpoints = *ordered;
  const LimitedEndpoints limited = options_.limiter_.CheckPermits(endpoints);
  const std::set<std::string> backedOff = FindBackedOff(endpoints);
  const TimePoint now = TimerService::Now();
  Shard& shard = ShardOf(aQuery.service_);
  const std::lock_guard lock(shard.mutex_);
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(endpoints.size());
  for (const ListedEndpoint& endpoint : endpoints) {
    const std::string& id = endpoint.id_;
    if (limited.withheld_.contains(id) || backedOff.contains(id)) {
      continue;
    }
    candidates.push_back(
      { .endpoint_ = &endpoint,
        .load_ = shard.load_.Of(id, now),
        .avoided_ = shard.outlierDetector_.IsEjected(id, now) ||
                    shard.load_.SilentFor(id, now) > kMaxSilence,
        .tried_ = aQuery.tried_.contains(id),
        .limited_ = limited.permitted_.contains(id) });
  }
  std::optional<PlacementChoice> choice;
  if (aQuery.engineProfile_) {
    const EnginePlacement placement{ EnginePlacement::Options{} };
    choice = placement.Choose(
      *aQuery.engineProfile_, aQuery.gaps_, candidates, aQuery.request_);
  } else {
    choice = ServicePlacement().Choose(
      shard.typicalDuration_, candidates, aQuery.request_);
  }
  if (!choice) {
    return std::nullopt;
  }
  FleetPlacement placed{ .endpoint_ = *choice->endpoint_,
                         .reservedTokens_ = choice->reservedTokens_,
                         .firstAnswer_ = choice->firstAnswer_,
                         .wait_ = choice->wait_,
                         .slowsDecoding_ = choice->slowsDecoding_,
                         .deferred_ = choice->deferred_,
                         .peerLoadUnknown_ = aQuery.request_.peerLoadUnknown_,
                         .load_ = shard.load_.Of(choice->endpoint_->id_, now),
                         .candidates_ = candidates.size(),
                         .withheld_ = limited.withheld_.size(),
                         .backedOff_ = backedOff.size(),
                         .cost_ = choice->cost_,
                         .helperCost_ = choice->helperCost_ };
  for (const ListedEndpoint* helper : choice->helpers_) {
    placed.helpers_.push_back(*helper);
  }
  return placed;
}

bool Fleet::TryUsePermit(const FleetPlacement& aPlacement)
{
  // Endpoints with a rate limit are never chosen as helpers.
  return options_.limiter_.Take(aPlacement.endpoint_.IncarnationId());
}

std::set<std::string> Fleet::FindBackedOff(
  const std::vector<ListedEndpoint>& aEndpoints)
{
  std::set<std::string> backedOff;
  const std::lock_guard lock(directoryMutex_);
  if (backoffs_.IsEmpty()) {
    return backedOff;
  }
  const TimePoint now = TimerService::Now();
  for (const ListedEndpoint& endpoint : aEndpoints) {
    if (backoffs_.Remaining(endpoint.IncarnationId(), now)) {
      backedOff.insert(endpoint.id_);
    }
  }
  return backedOff;
}

std::optional<ServiceBlock> Fleet::FindServiceBlock(const std::string& aService)
{
  std::optional<ServiceBlock> block;
  const auto add = [&block](SendBlock aReason, milliseconds aRemaining) {
    if (!block || aRemaining < block->remaining_) {
      block = { .reason_ = aReason, .remaining_ = aRemaining };
    }
  };
  std::vector<ListedEndpoint> others;
  {
    const std::lock_guard lock(directoryMutex_);
    const TimePoint now = TimerService::Now();
    for (const ListedEndpoint* endpoint : directory_.Usable(aService)) {
      const auto backoff = backoffs_.Remaining(endpoint->IncarnationId(), now);
      if (backoff) {
        add(SendBlock::kBackoff, *backoff);
      } else {
        others.push_back(*endpoint);
      }
    }
  }
  for (const ListedEndpoint& endpoint : others) {
    if (!options_.limiter_.Of(endpoint.IncarnationId())) {
      return std::nullopt;
    }
  }
  if (!others.empty()) {
    add(SendBlock::kNoPermit, options_.limiter_.TimeUntilPermit(others));
  }
  return block;
}

SendBlock Fleet::CheckSend(const ListedEndpoint& aEndpoint)
{
  const Incarnation incarnation = aEndpoint.IncarnationId();
  const std::lock_guard lock(directoryMutex_);
  if (!directory_.IsUsable(incarnation)) {
    return SendBlock::kUnusable;
  }
  return backoffs_.Remaining(incarnation, TimerService::Now())
           ? SendBlock::kBackoff
           : SendBlock::kNone;
}

NoticeEffect Fleet::OnNotice(const ListedEndpoint& aEndpoint,
                             const EndpointNotice& aNotice,
                             const NoticeSource& aSource)
{
  const Incarnation incarnation = aEndpoint.IncarnationId();
  // An unsigned response must not lift a rate limit.
  if (aSource.signed_ ||
      aNotice.rateLimit_.kind_ == AdvertisedRateLimit::Kind::kSpecified) {
    options_.limiter_.OnAnswer(
      incarnation, aNotice.rateLimit_, aSource.sentAt_);
  }
  NoticeEffect effect;
  const std::lock_guard lock(directoryMutex_);
  if (aNotice.leaving_) {
    effect.leaving_ = directory_.OnLeaving(incarnation);
  }
  if (aNotice.backoff_.kind_ == RequestedBackoff::Kind::kSpecified) {
    effect.backoff_ = backoffs_.OnRequested(
      incarnation, aNotice.backoff_.duration_, TimerService::Now());
  }
  return effect;
}

void Fleet::OnReplaced(const ListedEndpoint& aEndpoint)
{
  const std::lock_guard lock(directoryMutex_);
  directory_.OnLeaving(aEndpoint.IncarnationId());
}

bool Fleet::IsPeerLoadUnknown()
{
  const std::lock_guard lock(peersMutex_);
  return peerVisibility_.IsPeerLoadUnknown(TimerService::Now());
}

void Fleet::OnPeerContact()
{
  const std::lock_guard lock(peersMutex_);
  peerVisibility_.OnLoadMessage(TimerService::Now());
}

void Fleet::OnPeersKnown(std::size_t aPeers)
{
  const std::lock_guard lock(peersMutex_);
  peerVisibility_.OnPeersKnown(aPeers);
}

bool Fleet::IsListed(const Incarnation& aEndpoint)
{
  const std::lock_guard lock(directoryMutex_);
  const ListedEndpoint* listed = directory_.Find(aEndpoint.id_);
  return listed != nullptr && listed->IncarnationId() == aEndpoint;
}

std::size_t Fleet::CountUsable(const std::string& aService)
{
  const std::lock_guard lock(directoryMutex_);
  return directory_.Usable(aService).size();
}

bool Fleet::HasUntriedEndpoint(const std::string& aService,
                               const std::set<std::string>& aTried)
{
  const std::lock_guard lock(directoryMutex_);
  const auto usable = directory_.Usable(aService);
  return std::any_of(
    usable.begin(), usable.end(), [&aTried](const ListedEndpoint* aListed) {
      return !aTried.contains(aListed->id_);
    });
}

void Fleet::OnLoadMessage(const LoadMessage& aMessage)
{
  const TimePoint now = TimerService::Now();
  {
    const std::lock_guard lock(peersMutex_);
    // A host's messages about its zone have a sequence separate from those
    // about itself.
    LastPeerMessages& last =
      lastPeerMessages_[aMessage.zone_ + "/" + aMessage.host_];
    const bool inOrder = aMessage.kind_ == LoadMessageKind::kSnapshotContinued
                           ? aMessage.sequence_ == last.snapshotSequence_
                           : aMessage.sequence_ > last.latestSequence_;
    if (!inOrder) {
      return; // datagrams may arrive out of order
    }
    last.latestSequence_ = std::max(last.latestSequence_, aMessage.sequence_);
    if (aMessage.kind_ == LoadMessageKind::kSnapshot) {
      last.snapshotSequence_ = aMessage.sequence_;
    }
    peerVisibility_.OnLoadMessage(now);
    if (!aMessage.zone_.empty() &&
        (aMessage.zone_ == options_.zone_ ||
         !zoneMessageFilter_.Accepts(aMessage, now))) {
      return;
    }
  }
  const std::string peer =
    aMessage.zone_.empty() ? aMessage.host_ : PeerNameOfZone(aMessage.zone_);
  auto byService = GroupByService(aMessage.shares_);
  EnsureShards(byService);
  const std::lock_guard lock(shardsMutex_);
  for (const auto& [service, shard] : shards_) {
    const std::lock_guard shardLock(shard->mutex_);
    FleetLoad& load = shard->load_;
    std::vector<EndpointShare>& shares = byService[service];
    switch (aMessage.kind_) {
      case LoadMessageKind::kSnapshot:
        // Also for services that the snapshot does not mention: the peer has no
        // requests in flight there any more.
        load.OnPeerSnapshot(peer, std::move(shares), now);
        break;
      case LoadMessageKind::kSnapshotContinued:
        load.OnPeerSnapshotContinued(peer, std::move(shares));
        break;
      case LoadMessageKind::kDelta:
        load.OnPeerDelta(peer, std::move(shares), now);
        break;
    }
  }
}

std::vector<EndpointShare> Fleet::SumSharesOf(
  const std::set<std::string>& aHosts)
{
  const TimePoint now = TimerService::Now();
  const auto counts = [&aHosts](const std::string& aHost) {
    return aHosts.contains(aHost);
  };
  std::vector<EndpointShare> all;
  const std::lock_guard lock(shardsMutex_);
  for (const auto& [service, shard] : shards_) {
    const std::lock_guard shardLock(shard->mutex_);
    for (EndpointShare& share : shard->load_.Sum(counts, now)) {
      all.push_back(std::move(share));
    }
  }
  return all;
}

Fleet::SharesByService Fleet::GroupByService(
  const std::vector<EndpointShare>& aShares)
{
  SharesByService byService;
  const std::lock_guard lock(directoryMutex_);
  for (const EndpointShare& share : aShares) {
    if (const ListedEndpoint* listed = directory_.Find(share.id_)) {
      byService[listed->service_].push_back(share);
    }
  }
  return byService;
}

std::vector<EndpointShare> Fleet::OwnShares()
{
  const TimePoint now = TimerService::Now();
  std::vector<EndpointShare> all;
  const std::lock_guard lock(shardsMutex_);
  for (const auto& [service, shard] : shards_) {
    const std::lock_guard shardLock(shard->mutex_);
    for (EndpointShare& share : shard->load_.OwnShares(now)) {
      all.push_back(std::move(share));
    }
  }
  return all;
}

std::vector<EndpointShare> Fleet::OwnSharesAt(
  const std::vector<ListedEndpoint>& aEndpoints)
{
  const TimePoint now = TimerService::Now();
  std::vector<EndpointShare> shares;
  shares.reserve(aEndpoints.size());
  for (const ListedEndpoint& endpoint : aEndpoints) {
    Shard& shard = ShardOf(endpoint.service_);
    const std::lock_guard lock(shard.mutex_);
    shares.push_back(shard.load_.OwnShare(endpoint.id_, now));
  }
  return shares;
}

void Fleet::Sweep()
{
  const TimePoint now = TimerService::Now();
  {
    const std::lock_guard lock(directoryMutex_);
    for (const Incarnation& endpoint : backoffs_.Sweep(now)) {
      Log(LogEvent::kEndpointBackoffEnded, { { "endpoint", endpoint.id_ } });
    }
  }
  const std::lock_guard lock(shardsMutex_);
  for (const auto& [service, shard] : shards_) {
    const std::lock_guard shardLock(shard->mutex_);
    shard->outlierDetector_.Sweep(now);
  }
}

Fleet::ActiveRequest::ActiveRequest(Fleet& aFleet,
                                    const FleetQuery& aQuery,
                                    FleetPlacement aPlacement)
  : fleet_(aFleet)
  , id_(aQuery.id_)
  , service_(aQuery.service_)
  , placement_(std::move(aPlacement))
  , sentAt_(TimerService::Now())
  , lastDataAt_(sentAt_)
{
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  shard.load_.OnSent(placement_.endpoint_.id_, id_, placement_.cost_, sentAt_);
  for (const ListedEndpoint& helper : placement_.helpers_) {
    shard.load_.OnSent(helper.id_, id_, placement_.helperCost_, sentAt_);
  }
}

Fleet::ActiveRequest::~ActiveRequest()
{
  Release();
}

void Fleet::ActiveRequest::OnDataReceived(bool aFirst)
{
  const TimePoint now = TimerService::Now();
  begun_ = begun_ || aFirst;
  lastDataAt_ = now;
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  if (!aFirst) {
    shard.load_.OnDataReceived(placement_.endpoint_.id_, now);
    return;
  }
  shard.load_.OnStarted(placement_.endpoint_.id_, id_, now);
  for (const ListedEndpoint& helper : placement_.helpers_) {
    // The helper's part of the prefill is done.
    shard.load_.OnStarted(helper.id_, id_, now);
  }
}

EndpointActivity Fleet::ActiveRequest::CurrentActivity() const
{
  const TimePoint now = TimerService::Now();
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  const std::string& endpoint = placement_.endpoint_.id_;
  const EndpointLoad load = shard.load_.Of(endpoint, now);
  return { .requestSilence_ = duration_cast<milliseconds>(now - lastDataAt_),
           .hostSilence_ = shard.load_.SilentFor(endpoint, now),
           .peerSilence_ = shard.load_.ShortestPeerSilence(endpoint, now),
           .begun_ = begun_,
           .overtaken_ = shard.load_.IsOvertaken(endpoint, id_),
           .backlog_ = duration_cast<milliseconds>(load.backlog_),
           .running_ = load.running_,
           .slots_ = placement_.endpoint_.slots_ };
}

void Fleet::ActiveRequest::End(EndpointOutcome aOutcome)
{
  const TimePoint now = TimerService::Now();
  Shard& shard = fleet_.ShardOf(service_);
  {
    const std::lock_guard lock(shard.mutex_);
    shard.outlierDetector_.OnOutcome(placement_.endpoint_.id_, aOutcome, now);
    if (aOutcome == EndpointOutcome::kServed) {
      const double duration =
        static_cast<double>(duration_cast<microseconds>(now - sentAt_).count());
      const auto average = static_cast<double>(shard.typicalDuration_.count());
      shard.typicalDuration_ = microseconds(static_cast<std::int64_t>(
        average + (duration - average) * kDurationSmoothing));
    }
  }
  Release();
}

void Fleet::ActiveRequest::Release()
{
  if (ended_) {
    return;
  }
  ended_ = true;
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  shard.load_.OnEnded(placement_.endpoint_.id_, id_);
  for (const ListedEndpoint& helper : placement_.helpers_) {
    shard.load_.OnEnded(helper.id_, id_);
  }
}

} // namespace gooseberrylift
