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

// The usual time of a plain service is learnt; each answer moves it by this
// part, so that ten answers replace it.
constexpr double kLearn = 0.1;
constexpr microseconds kFirstGuess{ 20'000 }; // until the first answer came

// An endpoint that has sent nothing for so long to any of this host's requests
// there is passed over: no engine's pass is longer, so it hangs or is dead.
constexpr milliseconds kSilent{ 1'000 };

} // namespace

struct Fleet::Shard
{
  std::mutex mutex_;
  FleetLoad load_{ FleetLoad::Options{} };
  OutlierDetector trust_{ OutlierDetector::Options{} };
  microseconds usual_ = kFirstGuess;
};

Fleet::Fleet(Options aOptions)
  : options_(std::move(aOptions))
  , view_(PeerVisibility::Options{}, TimerService::Now())
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
  bool reborn = false;
  {
    const std::lock_guard lock(directoryMutex_);
    reborn = directory_.OnListed(aListed);
  }
  if (reborn) {
    ForgetFormerLife(aListed);
  }
}

// The endpoint started again under its id. With the load, the silence and the
// failures of its former life still counted it would be passed over while it
// stands idle.
void Fleet::ForgetFormerLife(const ListedEndpoint& aReborn)
{
  Log(LogEvent::kEndpointRestarted,
      { { "endpoint", aReborn.id_ },
        { "born_ms", aReborn.startTime_.time_since_epoch().count() } });
  if (options_.onReborn_) {
    options_.onReborn_(aReborn.id_);
  }
  Shard& shard = ShardOf(aReborn.service_);
  const std::lock_guard lock(shard.mutex_);
  shard.load_.OnRestarted(aReborn.id_);
  shard.trust_.OnRestarted(aReborn.id_);
}

// What peers have in work counts from the first word on. Kept only from this
// host's own first request to a service on, each host of a large fleet took the
// same idle engines with it, and the first short requests of all hosts were
// late.
void Fleet::MakeShards(const SharesByService& aShares)
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

// The order of engines changes only with the directory. A prompt that is held
// asks for it 25 times a second, and sorting hundreds of engines each time
// would take a small host's processor from its callers.
Fleet::Endpoints Fleet::Ordered(const FleetQuery& aQuery)
{
  const std::lock_guard lock(directoryMutex_);
  directory_.Sweep(TimerService::Now());
  if (!aQuery.engineProfile_) {
    // Hosts with equal views would all take the first.
    return std::make_shared<std::vector<ListedEndpoint>>(
      ShuffleEndpoints(Usable(aQuery.service_), aQuery.draw_));
  }
  Order& order = orders_[aQuery.service_];
  if (!order.endpoints_ || order.changes_ != directory_.Changes()) {
    order.changes_ = directory_.Changes();
    order.endpoints_ = std::make_shared<std::vector<ListedEndpoint>>(
      OrderForHost(Usable(aQuery.service_), options_.host_, {}));
  }
  return order.endpoints_;
}

std::optional<FleetPlacement> Fleet::Place(FleetQuery aQuery)
{
  aQuery.request_.peerLoadUnknown_ = IsPeerLoadUnknown();
  aQuery.request_.draw_ = aQuery.draw_;
  const Endpoints ordered = Ordered(aQuery);
  const std::vector<ListedEndpoint>& endpoints = *ordered;
  const LimitedEndpoints limited = options_.limiter_.CheckPermits(endpoints);
  const TimePoint now = TimerService::Now();
  Shard& shard = ShardOf(aQuery.service_);
  const std::lock_guard lock(shard.mutex_);
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(endpoints.size());
  for (const ListedEndpoint& endpoint : endpoints) {
    const std::string& id = endpoint.id_;
    if (limited.withheld_.contains(id)) {
      continue;
    }
    candidates.push_back({ .endpoint_ = &endpoint,
                           .load_ = shard.load_.Of(id, now),
                           .avoided_ = shard.trust_.IsEjected(id, now) ||
                                       shard.load_.SilentFor(id, now) > kSilent,
                           .tried_ = aQuery.tried_.contains(id),
                           .limited_ = limited.permitted_.contains(id) });
  }
  std::optional<PlacementChoice> choice;
  if (aQuery.engineProfile_) {
    const EnginePlacement placement{ EnginePlacement::Options{} };
    choice = placement.Choose(
      *aQuery.engineProfile_, aQuery.gaps_, candidates, aQuery.request_);
  } else {
    choice =
      ServicePlacement().Choose(shard.usual_, candidates, aQuery.request_);
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
                         .cost_ = choice->cost_,
                         .helperCost_ = choice->helperCost_ };
  for (const ListedEndpoint* helper : choice->helpers_) {
    placed.helpers_.push_back(*helper);
  }
  return placed;
}

bool Fleet::TryUsePermit(const FleetPlacement& aPlacement)
{
  // Helpers are never limited ones.
  return options_.limiter_.Take(aPlacement.endpoint_.IncarnationId());
}

std::optional<milliseconds> Fleet::TimeUntilPermit(const std::string& aService)
{
  std::vector<ListedEndpoint> usable;
  {
    const std::lock_guard lock(directoryMutex_);
    usable = Usable(aService);
  }
  const bool limited =
    !usable.empty() &&
    std::all_of(
      usable.begin(), usable.end(), [this](const ListedEndpoint& aListed) {
        return options_.limiter_.Of(aListed.IncarnationId()).has_value();
      });
  return limited ? std::optional(options_.limiter_.TimeUntilPermit(usable))
                 : std::nullopt;
}

bool Fleet::IsPeerLoadUnknown()
{
  const std::lock_guard lock(peersMutex_);
  return view_.IsPeerLoadUnknown(TimerService::Now());
}

void Fleet::OnPeersHeard()
{
  const std::lock_guard lock(peersMutex_);
  view_.OnLoadMessage(TimerService::Now());
}

void Fleet::OnPeersKnown(std::size_t aPeers)
{
  const std::lock_guard lock(peersMutex_);
  view_.OnPeersKnown(aPeers);
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

void Fleet::OnLoadMessage(const LoadMessage& aWord)
{
  const TimePoint now = TimerService::Now();
  {
    const std::lock_guard lock(peersMutex_);
    // Words of a zone overtake each other apart from their host's own.
    PeerWords& known = peerWords_[aWord.zone_ + "/" + aWord.host_];
    const bool takes = aWord.kind_ == LoadMessageKind::kSnapshotContinued
                         ? aWord.sequence_ == known.whole_
                         : aWord.sequence_ > known.word_;
    if (!takes) {
      return; // datagrams may overtake each other
    }
    known.word_ = std::max(known.word_, aWord.sequence_);
    if (aWord.kind_ == LoadMessageKind::kSnapshot) {
      known.whole_ = aWord.sequence_;
    }
    view_.OnLoadMessage(now);
    if (!aWord.zone_.empty() && (aWord.zone_ == options_.zone_ ||
                                 !zoneMessageFilter_.Accepts(aWord, now))) {
      return;
    }
  }
  const std::string peer =
    aWord.zone_.empty() ? aWord.host_ : PeerNameOfZone(aWord.zone_);
  auto byService = ByService(aWord.shares_);
  MakeShards(byService);
  const std::lock_guard lock(shardsMutex_);
  for (const auto& [service, shard] : shards_) {
    const std::lock_guard shardLock(shard->mutex_);
    FleetLoad& load = shard->load_;
    std::vector<EndpointShare>& shares = byService[service];
    switch (aWord.kind_) {
      case LoadMessageKind::kSnapshot:
        // Also of a service of which the peer said nothing: it has no work
        // there any more.
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

std::vector<EndpointShare> Fleet::SumOf(const std::set<std::string>& aHosts)
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

Fleet::SharesByService Fleet::ByService(
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
  const std::lock_guard lock(shardsMutex_);
  for (const auto& [service, shard] : shards_) {
    const std::lock_guard shardLock(shard->mutex_);
    shard->trust_.Sweep(now);
  }
}

Fleet::ActiveRequest::ActiveRequest(Fleet& aFleet,
                                    const FleetQuery& aQuery,
                                    FleetPlacement aPlacement)
  : fleet_(aFleet)
  , id_(aQuery.id_)
  , service_(aQuery.service_)
  , placement_(std::move(aPlacement))
  , sent_(TimerService::Now())
  , heard_(sent_)
{
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  shard.load_.OnSent(placement_.endpoint_.id_, id_, placement_.cost_, sent_);
  for (const ListedEndpoint& helper : placement_.helpers_) {
    shard.load_.OnSent(helper.id_, id_, placement_.helperCost_, sent_);
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
  heard_ = now;
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  if (!aFirst) {
    shard.load_.OnDataReceived(placement_.endpoint_.id_, now);
    return;
  }
  shard.load_.OnStarted(placement_.endpoint_.id_, id_, now);
  for (const ListedEndpoint& helper : placement_.helpers_) {
    shard.load_.OnStarted(helper.id_, id_, now); // its part is read
  }
}

EndpointActivity Fleet::ActiveRequest::CurrentActivity() const
{
  const TimePoint now = TimerService::Now();
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  const std::string& endpoint = placement_.endpoint_.id_;
  const EndpointLoad load = shard.load_.Of(endpoint, now);
  return { .requestSilence_ = duration_cast<milliseconds>(now - heard_),
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
    shard.trust_.OnOutcome(placement_.endpoint_.id_, aOutcome, now);
    if (aOutcome == EndpointOutcome::kServed) {
      const double took =
        static_cast<double>(duration_cast<microseconds>(now - sent_).count());
      const auto before = static_cast<double>(shard.usual_.count());
      shard.usual_ = microseconds(
        static_cast<std::int64_t>(before + (took - before) * kLearn));
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
