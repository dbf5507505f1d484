#include "gooseberrylift/internal/gooseberrylift-service-loads.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Weight of a new answer in the exponential moving average of a plain service's
// response time. The average adapts within about ten answers.
constexpr double kDurationSmoothing = 0.1;

// No engine pass takes longer than this.
constexpr milliseconds kMaxSilence{ 1'000 };

// Changes of one service that are logged at each sweep, of which there are one
// or two a second.
constexpr std::size_t kMaxLoggedChanges = 20;

void LogPressure(const std::string& aService,
                 const std::vector<PressureChange>& aChanges)
{
  std::size_t logged = 0;
  for (const PressureChange& change : aChanges) {
    if (++logged > kMaxLoggedChanges) {
      return;
    }
    Log(change.began_ ? LogEvent::kEndpointPressureBegan
                      : LogEvent::kEndpointPressureEnded,
        { { "endpoint", change.endpoint_ },
          { "service", aService },
          { "cause", NameOf(change.cause_) },
          { "told", change.told_ },
          { "rejections", change.rejections_ },
          { "remaining_ms", change.remaining_.count() },
          { "changes", aChanges.size() } });
  }
}

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

bool ServiceLoad::MayHang(const std::string& aEndpoint, TimePoint aNow) const
{
  return load_.IsUnproven(aEndpoint) ||
         load_.SilentFor(aEndpoint, aNow) > ReplacementPacer::kMaxSilence;
}

void ServiceLoad::OnOutcome(const std::string& aEndpoint,
                            EndpointOutcome aOutcome,
                            microseconds aDuration,
                            TimePoint aNow)
{
  hasTraffic_ = true;
  outlierDetector_.OnOutcome(aEndpoint, aOutcome, aNow);
  if (outlierDetector_.IsEjected(aEndpoint, aNow)) {
    pressure_.OnEjected(
      aEndpoint, outlierDetector_.EjectedUntil(aEndpoint), aNow);
  }
  if (aOutcome != EndpointOutcome::kServed) {
    return;
  }
  const auto duration = static_cast<double>(aDuration.count());
  const auto average = static_cast<double>(typicalDuration_.count());
  typicalDuration_ = microseconds(static_cast<std::int64_t>(
    average + (duration - average) * kDurationSmoothing));
}

void ServiceLoad::OnRestarted(const std::string& aEndpoint, TimePoint aNow)
{
  load_.OnRestarted(aEndpoint);
  outlierDetector_.OnRestarted(aEndpoint);
  OnReturned(aEndpoint, aNow);
}

void ServiceLoad::OnReturned(const std::string& aEndpoint, TimePoint aNow)
{
  if (hasTraffic_) {
    pressure_.OnReturned(aEndpoint, aNow);
  }
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

bool ServiceLoads::OnRejected(const ListedEndpoint& aEndpoint,
                              TimePoint aSentAt,
                              TimePoint aNow)
{
  return With(aEndpoint.service_, [&](ServiceLoad& aState) {
    return aState.pressure_.OnRejected(aEndpoint.id_, aSentAt, aNow);
  });
}

void ServiceLoads::OnBackoff(const ListedEndpoint& aEndpoint,
                             milliseconds aDuration,
                             TimePoint aNow)
{
  With(aEndpoint.service_, [&](ServiceLoad& aState) {
    aState.pressure_.OnBackoff(aEndpoint.id_, aDuration, aNow);
  });
}

void ServiceLoads::OnReturned(const std::vector<ListedEndpoint>& aEndpoints,
                              TimePoint aNow)
{
  for (const ListedEndpoint& endpoint : aEndpoints) {
    With(endpoint.service_,
         [&](ServiceLoad& aState) { aState.OnReturned(endpoint.id_, aNow); });
  }
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
    for (const EndpointShare& share : shares) {
      aState.pressure_.OnPeerReport(share, aNow);
    }
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
    std::vector<EndpointShare> sum = aState.load_.Sum(counts, aNow);
    aState.pressure_.AddReportsTo(sum, aNow);
    Append(std::move(sum), all);
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
    std::vector<EndpointShare> own = aState.load_.OwnShares(aNow);
    aState.pressure_.AddReportsTo(own, aNow);
    Append(std::move(own), all);
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
      EndpointShare share = aState.load_.OwnShare(endpoint.id_, aNow);
      aState.pressure_.AddReportsTo(share, aNow);
      return share;
    }));
  }
  return shares;
}

void ServiceLoads::Sweep(TimePoint aNow)
{
  ForEach([aNow](const std::string& aService, ServiceLoad& aState) {
    aState.outlierDetector_.Sweep(aNow);
    LogPressure(aService, aState.pressure_.Sweep(aNow));
  });
}

} // namespace gooseberrylift
