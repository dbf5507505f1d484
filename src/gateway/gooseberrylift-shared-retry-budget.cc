#include "gooseberrylift/internal/gooseberrylift-shared-retry-budget.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

void SharedRetryBudget::SetOptions(const FleetRetryBudget::Options& aOptions)
{
  const std::lock_guard lock(mutex_);
  budget_.SetOptions(aOptions);
}

void SharedRetryBudget::SetHosts(std::size_t aHosts)
{
  const std::lock_guard lock(mutex_);
  hosts_ = aHosts;
}

void SharedRetryBudget::OnRequest(const std::string& aService, TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  budget_.OnRequest(aService, aNow);
}

bool SharedRetryBudget::TryRetry(const std::string& aService,
                                 const std::string& aRequestId,
                                 TimePoint aNow)
{
  RetryBudgetState state;
  {
    const std::lock_guard lock(mutex_);
    if (budget_.TryRetry(aService, hosts_, aNow)) {
      metrics_.Count("gooseberrylift_retries_total", "allowed=\"yes\"");
      return true;
    }
    state = budget_.StateOf(aService, hosts_, aNow);
  }
  metrics_.Count("gooseberrylift_retries_total", "allowed=\"no\"");
  Log(LogEvent::kRetryDenied,
      { { "request_id", aRequestId },
        { "service", aService },
        { "requests", state.requests_ },
        { "retries", state.retries_ },
        { "limit", state.limit_ },
        { "hosts", state.hosts_ } });
  return false;
}

} // namespace gooseberrylift
