#include "gooseberrylift/internal/gooseberrylift-endpoint-access.h"

#include <algorithm>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-order.h"

namespace gooseberrylift {

using std::chrono::milliseconds;

EndpointAccess::EndpointAccess(std::string aHost, EndpointRateLimiter& aLimiter)
  : host_(std::move(aHost))
  , limiter_(aLimiter)
{
}

bool EndpointAccess::OnListed(const ListedEndpoint& aListed)
{
  // First, so that no request is placed at a cold endpoint without a permit.
  limiter_.OnListed(aListed);
  const std::lock_guard lock(mutex_);
  return directory_.OnListed(aListed);
}

NoticeEffect EndpointAccess::OnNotice(const ListedEndpoint& aEndpoint,
                                      const EndpointNotice& aNotice,
                                      const NoticeSource& aSource)
{
  const Incarnation incarnation = aEndpoint.IncarnationId();
  // An unsigned response must not lift a rate limit.
  if (aSource.signed_ ||
      aNotice.rateLimit_.kind_ == AdvertisedRateLimit::Kind::kSpecified) {
    limiter_.OnAnswer(incarnation, aNotice.rateLimit_, aSource.sentAt_);
  }
  NoticeEffect effect;
  const std::lock_guard lock(mutex_);
  if (aNotice.leaving_) {
    effect.leaving_ = directory_.OnLeaving(incarnation);
  }
  if (aNotice.backoff_.kind_ == RequestedBackoff::Kind::kSpecified) {
    effect.backoff_ = backoffs_.OnRequested(
      incarnation, aNotice.backoff_.duration_, TimerService::Now());
  }
  return effect;
}

void EndpointAccess::OnReplaced(const ListedEndpoint& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  directory_.OnLeaving(aEndpoint.IncarnationId());
}

std::vector<const ListedEndpoint*> EndpointAccess::UsableIn(
  const std::string& aService,
  const AllowedZones& aZones) const
{
  auto usable = directory_.Usable(aService);
  std::erase_if(usable, [&aZones](const ListedEndpoint* aListed) {
    return !IsAllowed(aZones, aListed->zone_);
  });
  return usable;
}

std::vector<ListedEndpoint> EndpointAccess::Usable(
  const std::string& aService) const
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
EndpointAccess::Endpoints EndpointAccess::Engines(const std::string& aService)
{
  const std::lock_guard lock(mutex_);
  directory_.Sweep(TimerService::Now());
  EngineOrder& order = engineOrders_[aService];
  if (!order.endpoints_ || order.directoryChanges_ != directory_.Changes()) {
    order.directoryChanges_ = directory_.Changes();
    order.endpoints_ = std::make_shared<std::vector<ListedEndpoint>>(
      OrderForHost(Usable(aService), host_, {}));
  }
  return order.endpoints_;
}

EndpointAccess::Endpoints EndpointAccess::Shuffled(const std::string& aService,
                                                   std::uint64_t aDraw)
{
  const std::lock_guard lock(mutex_);
  directory_.Sweep(TimerService::Now());
  // Without shuffling, hosts with the same view would all choose the first
  // endpoint.
  return std::make_shared<std::vector<ListedEndpoint>>(
    ShuffleEndpoints(Usable(aService), aDraw));
}

CandidateRestrictions EndpointAccess::RestrictionsOf(
  const std::vector<ListedEndpoint>& aEndpoints)
{
  return { .limited_ = limiter_.CheckPermits(aEndpoints),
           .backedOff_ = FindBackedOff(aEndpoints) };
}

std::set<std::string> EndpointAccess::FindBackedOff(
  const std::vector<ListedEndpoint>& aEndpoints)
{
  std::set<std::string> backedOff;
  const std::lock_guard lock(mutex_);
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

bool EndpointAccess::TryUsePermit(const ListedEndpoint& aEndpoint)
{
  return limiter_.Take(aEndpoint.IncarnationId());
}

std::optional<ServiceBlock> EndpointAccess::FindServiceBlock(
  const std::string& aService,
  const AllowedZones& aZones)
{
  std::optional<ServiceBlock> block;
  const auto add = [&block](SendBlock aReason, milliseconds aRemaining) {
    if (!block || aRemaining < block->remaining_) {
      block = { .reason_ = aReason, .remaining_ = aRemaining };
    }
  };
  std::vector<ListedEndpoint> others;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = TimerService::Now();
    for (const ListedEndpoint* endpoint : UsableIn(aService, aZones)) {
      const auto backoff = backoffs_.Remaining(endpoint->IncarnationId(), now);
      if (backoff) {
        add(SendBlock::kBackoff, *backoff);
      } else {
        others.push_back(*endpoint);
      }
    }
  }
  for (const ListedEndpoint& endpoint : others) {
    if (!limiter_.Of(endpoint.IncarnationId())) {
      return std::nullopt;
    }
  }
  if (!others.empty()) {
    add(SendBlock::kNoPermit, limiter_.TimeUntilPermit(others));
  }
  return block;
}

SendBlock EndpointAccess::CheckSend(const ListedEndpoint& aEndpoint)
{
  const Incarnation incarnation = aEndpoint.IncarnationId();
  const std::lock_guard lock(mutex_);
  if (!directory_.IsUsable(incarnation)) {
    return SendBlock::kUnusable;
  }
  return backoffs_.Remaining(incarnation, TimerService::Now())
           ? SendBlock::kBackoff
           : SendBlock::kNone;
}

bool EndpointAccess::HasUntried(const std::string& aService,
                                const std::set<std::string>& aTried,
                                const AllowedZones& aZones)
{
  const std::lock_guard lock(mutex_);
  const auto usable = UsableIn(aService, aZones);
  return std::any_of(
    usable.begin(), usable.end(), [&aTried](const ListedEndpoint* aListed) {
      return !aTried.contains(aListed->id_);
    });
}

bool EndpointAccess::IsListed(const Incarnation& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  const ListedEndpoint* listed = directory_.Find(aEndpoint.id_);
  return listed != nullptr && listed->IncarnationId() == aEndpoint;
}

std::size_t EndpointAccess::CountUsable(const std::string& aService,
                                        const AllowedZones& aZones)
{
  const std::lock_guard lock(mutex_);
  return UsableIn(aService, aZones).size();
}

std::string EndpointAccess::ServiceOf(const std::string& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  const ListedEndpoint* listed = directory_.Find(aEndpoint);
  return listed == nullptr ? std::string() : listed->service_;
}

void EndpointAccess::Sweep()
{
  const TimePoint now = TimerService::Now();
  const std::lock_guard lock(mutex_);
  for (const Incarnation& endpoint : backoffs_.Sweep(now)) {
    Log(LogEvent::kEndpointBackoffEnded, { { "endpoint", endpoint.id_ } });
  }
}

} // namespace gooseberrylift
