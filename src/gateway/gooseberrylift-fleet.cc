#include "gooseberrylift/internal/gooseberrylift-fleet.h"

#include <algorithm>

#include <xxhash.h>

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// The usual time of a plain service is learnt; each answer moves it by this
// part, so that ten answers replace it.
constexpr double kLearn = 0.1;
constexpr microseconds kFirstGuess{ 20'000 }; // until the first answer came

// Engines in a block of the shared order: about as many as hosts place requests
// between two words of load.
constexpr std::size_t kBlock = 4;

// An endpoint that has sent nothing for so long to any of this host's requests
// there is passed over: no engine's pass is longer, so it hangs or is dead.
constexpr milliseconds kSilent{ 1'000 };

std::uint64_t HashOf(const std::string& aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace

struct Fleet::Shard
{
  std::mutex mutex_;
  FleetLoad load_{ FleetLoad::Options{} };
  EndpointTrust trust_{ EndpointTrust::Options{} };
  microseconds usual_ = kFirstGuess;
};

Fleet::Fleet(Options aOptions)
  : options_(std::move(aOptions))
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

// Engines stand in one order for all hosts, so that hosts fill the same ones,
// but in blocks, within which each host has an order of its own: until a
// peer's word arrives, two hosts then seldom take the same one. Endpoints of
// plain services stand in an order of each request's own.
std::vector<ListedEndpoint> Fleet::Ordered(const FleetQuery& aQuery)
{
  const std::uint64_t seed =
    aQuery.figures_ ? 0 : HashOf(options_.host_, aQuery.id_);
  std::vector<std::pair<std::uint64_t, ListedEndpoint>> ranked;
  {
    const std::lock_guard lock(directoryMutex_);
    directory_.Sweep(TimerService::Now());
    for (const ListedEndpoint* listed : directory_.Usable(aQuery.service_)) {
      ranked.emplace_back(HashOf(listed->id_, seed), *listed);
    }
  }
  const auto byRank = [](const auto& aOne, const auto& aTwo) {
    return aOne.first < aTwo.first;
  };
  std::sort(ranked.begin(), ranked.end(), byRank);
  if (aQuery.figures_) {
    const std::uint64_t own = HashOf(options_.host_, 0);
    for (auto& [rank, listed] : ranked) {
      rank = HashOf(listed.id_, own);
    }
    for (std::size_t begin = 0; begin < ranked.size(); begin += kBlock) {
      const std::size_t end = std::min(begin + kBlock, ranked.size());
      std::sort(ranked.begin() + static_cast<std::ptrdiff_t>(begin),
                ranked.begin() + static_cast<std::ptrdiff_t>(end),
                byRank);
    }
  }
  std::vector<ListedEndpoint> ordered;
  ordered.reserve(ranked.size());
  for (auto& [rank, listed] : ranked) {
    ordered.push_back(std::move(listed));
  }
  return ordered;
}

std::optional<FleetPlacement> Fleet::Place(const FleetQuery& aQuery)
{
  const std::vector<ListedEndpoint> endpoints = Ordered(aQuery);
  const TimePoint now = TimerService::Now();
  Shard& shard = ShardOf(aQuery.service_);
  const std::lock_guard lock(shard.mutex_);
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(endpoints.size());
  for (const ListedEndpoint& endpoint : endpoints) {
    const std::string& id = endpoint.id_;
    candidates.push_back(
      { .endpoint_ = &endpoint,
        .load_ = shard.load_.Of(id, now),
        .setAside_ = shard.trust_.IsSetAside(id, now) ||
                     shard.load_.SilentFor(id, now) > kSilent,
        .tried_ = aQuery.tried_.contains(id) });
  }
  std::optional<PlacementChoice> choice;
  if (aQuery.figures_) {
    const EnginePlacement placement{ EnginePlacement::Options{} };
    choice = placement.Choose(
      *aQuery.figures_, aQuery.tightestGap_, candidates, aQuery.request_);
  } else {
    choice =
      ServicePlacement().Choose(shard.usual_, candidates, aQuery.request_);
  }
  if (!choice) {
    return std::nullopt;
  }
  FleetPlacement placed{ .endpoint_ = *choice->endpoint_,
                         .heldTokens_ = choice->heldTokens_,
                         .firstAnswer_ = choice->firstAnswer_,
                         .load_ = shard.load_.Of(choice->endpoint_->id_, now),
                         .candidates_ = candidates.size(),
                         .cost_ = choice->cost_,
                         .helperCost_ = choice->helperCost_ };
  for (const ListedEndpoint* helper : choice->helpers_) {
    placed.helpers_.push_back(*helper);
  }
  return placed;
}

void Fleet::OnPeer(const std::string& aHost,
                   std::uint64_t aSequence,
                   const std::vector<EndpointShare>& aShares)
{
  {
    const std::lock_guard lock(peersMutex_);
    std::uint64_t& last = peerSequences_[aHost];
    if (last == aSequence) {
      return;
    }
    last = aSequence;
  }
  const TimePoint now = TimerService::Now();
  std::map<std::string, std::vector<EndpointShare>> byService;
  {
    const std::lock_guard lock(directoryMutex_);
    for (const EndpointShare& share : aShares) {
      if (const ListedEndpoint* listed = directory_.Find(share.id_)) {
        byService[listed->service_].push_back(share);
      }
    }
  }
  const std::lock_guard lock(shardsMutex_);
  // Also those of which the peer said nothing: it has no work there any more.
  for (const auto& [service, shard] : shards_) {
    const std::lock_guard shardLock(shard->mutex_);
    shard->load_.OnPeer(aHost, std::move(byService[service]), now);
  }
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

std::set<std::string> Fleet::Leaving()
{
  const std::lock_guard lock(directoryMutex_);
  return directory_.Leaving();
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

Fleet::Use::Use(Fleet& aFleet,
                const FleetQuery& aQuery,
                FleetPlacement aPlacement)
  : fleet_(aFleet)
  , id_(aQuery.id_)
  , service_(aQuery.service_)
  , placement_(std::move(aPlacement))
  , sent_(TimerService::Now())
{
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  shard.load_.OnSent(placement_.endpoint_.id_, id_, placement_.cost_, sent_);
  for (const ListedEndpoint& helper : placement_.helpers_) {
    shard.load_.OnSent(helper.id_, id_, placement_.helperCost_, sent_);
  }
}

Fleet::Use::~Use()
{
  Release();
}

void Fleet::Use::OnHeard(bool aFirst)
{
  const TimePoint now = TimerService::Now();
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  if (!aFirst) {
    shard.load_.OnHeard(placement_.endpoint_.id_, now);
    return;
  }
  shard.load_.OnStarted(placement_.endpoint_.id_, id_, now);
  for (const ListedEndpoint& helper : placement_.helpers_) {
    shard.load_.OnStarted(helper.id_, id_, now); // its part is read
  }
}

void Fleet::Use::End(EndpointOutcome aOutcome)
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

void Fleet::Use::Release()
{
  if (ended_) {
    return;
  }
  ended_ = true;
  const TimePoint now = TimerService::Now();
  Shard& shard = fleet_.ShardOf(service_);
  const std::lock_guard lock(shard.mutex_);
  shard.load_.OnEnded(placement_.endpoint_.id_, id_, now);
  for (const ListedEndpoint& helper : placement_.helpers_) {
    shard.load_.OnEnded(helper.id_, id_, now);
  }
}

} // namespace gooseberrylift
