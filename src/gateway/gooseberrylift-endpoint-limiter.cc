#include "gooseberrylift/internal/gooseberrylift-endpoint-limiter.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace {

void LogRate(const EndpointRate& aRate, const char* aSource)
{
  nlohmann::json fields = { { "endpoint", aRate.endpoint_.id_ },
                            { "limited", aRate.perSecond_.has_value() },
                            { "version", aRate.version_ },
                            { "source", aSource } };
  if (aRate.perSecond_) {
    fields["per_second"] = *aRate.perSecond_;
  }
  Log(LogEvent::kEndpointRate, std::move(fields));
}

} // namespace

EndpointLimiter::EndpointLimiter(Parts aParts)
  : parts_(std::move(aParts))
{
}

void EndpointLimiter::OnAnswer(const Incarnation& aEndpoint,
                               const RateNotice& aNotice,
                               TimePoint aSent)
{
  std::optional<EndpointRate> changed;
  {
    const std::lock_guard lock(mutex_);
    changed = rates_.OnAnswer(aEndpoint, aNotice, aSent, TimerService::Now());
  }
  if (changed) {
    LogRate(*changed, "answer");
    parts_.tell_();
  }
}

void EndpointLimiter::OnPeer(const std::vector<EndpointRate>& aEntries)
{
  std::vector<EndpointRate> changed;
  {
    const std::lock_guard lock(mutex_);
    changed = rates_.OnPeer(aEntries, parts_.isListed_, TimerService::Now());
  }
  for (const EndpointRate& rate : changed) {
    LogRate(rate, "peer");
  }
}

std::vector<EndpointRate> EndpointLimiter::Entries()
{
  const std::lock_guard lock(mutex_);
  return rates_.Entries();
}

std::optional<double> EndpointLimiter::Of(const Incarnation& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  return rates_.Of(aEndpoint);
}

void EndpointLimiter::OnSent(const Incarnation& aEndpoint)
{
  if (Of(aEndpoint)) {
    parts_.metrics_.Count("gooseberrylift_limited_endpoint_sends_total",
                          "endpoint=\"" + aEndpoint.id_ + "\"");
  }
}

void EndpointLimiter::Sweep()
{
  const std::lock_guard lock(mutex_);
  rates_.Sweep(parts_.isListed_, TimerService::Now());
}

} // namespace gooseberrylift
