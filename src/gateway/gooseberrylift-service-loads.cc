#include "gooseberrylift/internal/gooseberrylift-service-loads.h"

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Weight of a new answer in the exponential moving average of a plain service's
// response time. The average adapts within about ten answers.
constexpr double kDurationSmoothing = 0.1;

// No engine pass takes longer than this.
constexpr milliseconds kMaxSilence{ 1'000 };

void Append(std::vector<EndpointShare> aShares,
            std::vector<EndpointShare>& aAll)
{
  for (EndpointShare& share : aShares) {
    aAll.push_back(std::move(share));
  }
}

} // namespace

bool ServiceLoad::IsAvoided(const std::string& aEndpoint, TimePoint aNow) const
{
  return outlierDetector_.IsEjected(aEndpoint, aNow) ||
         load_.SilentFor(aEndpoint, aNow) > kMaxSilence;
}

void ServiceLoad::OnOutcome(const std::string& aEndpoint,
                            EndpointOutcome aOutcome,
                            microseconds aDuration,
                            TimePoint aNow)
{
  outlierDetector_.OnOutcome(aEndpoint, aOutcome, aNow);
  if (aOutcome != EndpointOutcome::kServed) {
    return;
  }
  const auto duration = static_cast<double>(aDuration.count());
  const auto average = static_cast<double>(typicalDuration_.count());
  typicalDuration_ = microseconds(static_cast<std::int64_t>(
    average + (duration - average) * kDurationSmoothing));
}

void ServiceLoad::Sweep(TimePoint aNow, std::vector<PaceChange>& aChanges)
{
  outlierDetector_.Sweep(aNow);
  load_.Sweep(aNow);
  std::map<std::string, int> slow = load_.SlowEndpoints(aNow);
  for (const auto& [endpoint, percent] : slow) {
    if (!slow_.contains(endpoint)) {
      aChanges.push_back(
        { .endpoint_ = endpoint, .isSlow_ = true, .percent_ = percent });
    }
  }
  for (const auto& [endpoint, percent] : slow_) {
    if (!slow.contains(endpoint)) {
      aChanges.push_back({ .endpoint_ = endpoint, .percent_ = percent });
    }
  }
  slow_ = std::move(slow);
}

void ServiceLoad::OnRestarted(const std::string& aEndpoint)
{
  load_.OnRestarted(aEndpoint);
  outlierDetector_.OnRestarted(aEndpoint);
}

ServiceLoads::Shard& ServiceLoads::ShardOf(const std::string& aService)
{
  const std::lock_guard lock(mutex_);
  auto& shard = shards_[aService];
  if (!shard) {
    shard = std::make_unique<Shard>();
  }
  return *shard;
}

void ServiceLoads::OnLoadMessage(const std::string& aPeer,
                                 const LoadMessage& aMessage,
                                 TimePoint aNow)
{
  SharesByService byService = GroupByService(aMessage.shares_);
  // Creates the shards, so that peer load is counted before this host's own
  // first request to a service. Without that, all hosts of a large fleet sent
  // their first requests to the same idle engines, and the first short requests
  // of all hosts were late.
  for (const auto& [service, shares] : byService) {
    ShardOf(service);
  }
  ForEach([&](const std::string& aService, ServiceLoad& aState) {
    FleetLoad& load = aState.load_;
    std::vector<EndpointShare>& shares = byService[aService];
    switch (aMessage.kind_) {
      case LoadMessageKind::kSnapshot:
        // Also for services that the snapshot does not mention: the peer has no
        // requests in flight there any more.
        load.OnPeerSnapshot(aPeer, std::move(shares), aNow);
        break;
      case LoadMessageKind::kSnapshotContinued:
        load.OnPeerSnapshotContinued(aPeer, std::move(shares));
        break;
      case LoadMessageKind::kDelta:
        load.OnPeerDelta(aPeer, std::move(shares), aNow);
        break;
    }
  });
}

std::vector<EndpointShare> ServiceLoads::SumSharesOf(
  const std::set<std::string>& aHosts,
  TimePoint aNow)
{
  const auto counts = [&aHosts](const std::string& aHost) {
    return aHosts.contains(aHost);
  };
  std::vector<EndpointShare> all;
  ForEach([&](const std::string& /*aService*/, ServiceLoad& aState) {
    Append(aState.load_.Sum(counts, aNow), all);
  });
  return all;
}

ServiceLoads::SharesByService ServiceLoads::GroupByService(
  const std::vector<EndpointShare>& aShares)
{
  SharesByService byService;
  for (const EndpointShare& share : aShares) {
    const std::string service = serviceOf_(share.id_);
    if (!service.empty()) {
      byService[service].push_back(share);
    }
  }
  return byService;
}

std::vector<EndpointShare> ServiceLoads::OwnShares(TimePoint aNow)
{
  std::vector<EndpointShare> all;
  ForEach([&](const std::string& /*aService*/, ServiceLoad& aState) {
    Append(aState.load_.OwnShares(aNow), all);
  });
  return all;
}

std::vector<EndpointShare> ServiceLoads::OwnSharesAt(
  const std::vector<ListedEndpoint>& aEndpoints,
  TimePoint aNow)
{
  std::vector<EndpointShare> shares;
  shares.reserve(aEndpoints.size());
  for (const ListedEndpoint& endpoint : aEndpoints) {
    shares.push_back(With(endpoint.service_, [&](ServiceLoad& aState) {
      return aState.load_.OwnShare(endpoint.id_, aNow);
    }));
  }
  return shares;
}

std::vector<PaceChange> ServiceLoads::Sweep(TimePoint aNow)
{
  std::vector<PaceChange> changes;
  ForEach([&](const std::string& /*aService*/, ServiceLoad& aState) {
    aState.Sweep(aNow, changes);
  });
  return changes;
}

} // namespace gooseberrylift
