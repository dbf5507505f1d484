#include "gooseberrylift/internal/gooseberrylift-shared-retry-budget.h"

#include <utility>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace {

// Returns a random number from 0 up to 1.
double RandomFraction()
{
  constexpr std::uint64_t kSteps = 1'000'000;
  return static_cast<double>(RandomNumber() % kSteps) / kSteps;
}

} // namespace

SharedRetryBudget::SharedRetryBudget(Metrics& aMetrics)
  : metrics_(aMetrics)
  , startingCredit_(RandomFraction())
  , budget_({ .startingCredit_ = startingCredit_ }, TimerService::Now())
{
}

void SharedRetryBudget::SetOptions(FleetRetryBudget::Options aOptions)
{
  aOptions.startingCredit_ = startingCredit_;
  const std::lock_guard lock(mutex_);
  budget_.SetOptions(aOptions);
}

void SharedRetryBudget::SetHosts(std::size_t aHosts)
{
  const std::lock_guard lock(mutex_);
  budget_.SetHosts(aHosts, TimerService::Now());
}

void SharedRetryBudget::OnRequest(const std::string& aService, TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  budget_.OnRequest(aService, aNow);
}

// Returns what the budget stands at if it does not allow a retry.
std::optional<RetryBudgetState> SharedRetryBudget::TryReserve(
  const std::string& aService)
{
  const TimePoint now = TimerService::Now();
  const std::lock_guard lock(mutex_);
  if (budget_.TryReserve(aService, now)) {
    return std::nullopt;
  }
  return budget_.StateOf(aService, now);
}

void SharedRetryBudget::RecordDenied(const std::string& aService,
                                     const std::string& aRequestId,
                                     const RetryBudgetState& aState)
{
  metrics_.Count("gooseberrylift_retries_total", "allowed=\"no\"");
  Log(LogEvent::kRetryDenied,
      { { "request_id", aRequestId },
        { "service", aService },
        { "requests", aState.requests_ },
        { "retries", aState.retries_ },
        { "reserved", aState.reserved_ },
        { "limit", aState.limit_ },
        { "hosts", aState.hosts_ },
        { "running_ms", aState.age_.count() } });
}

SharedRetryBudget::Retry::Retry(SharedRetryBudget& aBudget,
                                std::string aService,
                                std::string aRequestId)
  : budget_(aBudget)
  , service_(std::move(aService))
  , requestId_(std::move(aRequestId))
{
}

SharedRetryBudget::Retry::~Retry()
{
  if (state_ == State::kRelayed) {
    Count();
  }
  Release();
}

void SharedRetryBudget::Retry::Release()
{
  if (state_ == State::kReserved) {
    const std::lock_guard lock(budget_.mutex_);
    budget_.budget_.Release(service_);
    state_ = State::kNone;
  }
}

bool SharedRetryBudget::Retry::TryReserve()
{
  if (state_ != State::kNone) {
    return state_ == State::kReserved;
  }
  if (const auto denied = budget_.TryReserve(service_)) {
    if (!isDenied_) {
      budget_.RecordDenied(service_, requestId_, *denied);
    }
    isDenied_ = true;
    return false;
  }
  isDenied_ = false;
  state_ = State::kReserved;
  return true;
}

void SharedRetryBudget::Retry::OnSent()
{
  if (state_ == State::kReserved) {
    Count();
  }
}

void SharedRetryBudget::Retry::OnRelayed()
{
  if (state_ == State::kReserved) {
    state_ = State::kRelayed;
  }
}

void SharedRetryBudget::Retry::OnRelayEnded(bool aSent)
{
  if (state_ != State::kRelayed) {
    return;
  }
  if (aSent) {
    Count();
  } else {
    state_ = State::kReserved;
  }
}

void SharedRetryBudget::Retry::Count()
{
  budget_.metrics_.Count("gooseberrylift_retries_total", "allowed=\"yes\"");
  const std::lock_guard lock(budget_.mutex_);
  budget_.budget_.OnSent(service_, TimerService::Now());
  state_ = State::kNone;
}

} // namespace gooseberrylift
