// The part of RequestRun that decides whether another attempt may follow, and
// at which endpoints.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

// Failed connections don't count as attempts or against the retry budget, but
// take time. A refused connection takes only a few milliseconds, so a request
// tries further endpoints until it has lost this much time. With a maximum
// count instead, requests would fail if most endpoints had crashed at once.
constexpr milliseconds kMaxTimeOnUnsentAttempts{ 1'000 };

constexpr milliseconds kDelayToUntriedEndpoint{ 100 };

} // namespace

// A relayed request is sent to one endpoint only: the host that relayed it
// decides about the next attempt.
int RequestRun::MaxAttempts() const
{
  return request_.relay_ || probed_ ? 1 : request_.route_->maxAttempts_;
}

// Returns the endpoints that failed the request. One that a host did not reach
// may still serve it over another host's links, and a full one later.
std::set<std::string> RequestRun::FailedEndpoints() const
{
  std::set<std::string> failed = tried_;
  for (const std::string& endpoint : unavailable_) {
    failed.erase(endpoint);
  }
  return failed;
}

// Returns the endpoints that may receive the next attempt; nothing if all may.
std::optional<std::set<std::string>> RequestRun::AllowedNext() const
{
  if (request_.relay_ && !request_.relay_->only_.empty()) {
    return std::set<std::string>(request_.relay_->only_.begin(),
                                 request_.relay_->only_.end());
  }
  return used_.AllowedNext(MaxAttempts(), FailedEndpoints());
}

bool RequestRun::HasAttemptLeft() const
{
  return MayReachAny(FailedEndpoints());
}

// Returns whether any endpoint may receive the request if some have failed it.
bool RequestRun::MayReachAny(const std::set<std::string>& aFailed) const
{
  const auto allowed = used_.AllowedNext(MaxAttempts(), aFailed);
  return !allowed || !allowed->empty();
}

// Returns whether an endpoint is left that this host has not found unusable.
bool RequestRun::IsAnyUntried() const
{
  const auto allowed = AllowedNext();
  if (!allowed) {
    return parts_.fleet_.Access().HasUntried(
      request_.service_, tried_, request_.allowedZones_);
  }
  return std::any_of(
    allowed->begin(), allowed->end(), [this](const std::string& aEndpoint) {
      return !tried_.contains(aEndpoint);
    });
}

// Returns whether another host may reach an endpoint that this one does not,
// and none was asked yet.
bool RequestRun::MayAskAnotherHost()
{
  return relays_ == 0 && ChooseRelay().has_value();
}

// Delays the next attempt of a response under way. While all endpoints are
// full, attempts would otherwise use up the retry budget of the service.
void RequestRun::DelayAfterRefusal()
{
  milliseconds delay = kDelayToUntriedEndpoint;
  if (!IsAnyUntried()) {
    delay = refusalDelay_;
    refusalDelay_ *= 2;
  }
  nextAttemptAt_ = TimerService::Now() + delay;
}

bool RequestRun::MayRetry(const Error& aError)
{
  if (aError.code_ == ResultCode::kCallerLeft ||
      aError.code_ == ResultCode::kDeadlineExceeded) {
    return false;
  }
  const bool isStream = request_.route_->kind_ == RouteKind::kStreaming;
  if (streamStarted_ && !isStream) {
    return false; // the rest of a body can't be requested
  }
  const bool notReceived = aError.ran_ == RanState::kNo;
  if (!notReceived && !request_.route_->IsRepeatable()) {
    return false;
  }
  if (request_.relay_ && failedConnections_ >= kMaxFailedConnections) {
    return false; // the host that relayed it may choose another one
  }
  const bool mayWait = IsUnderWay() && HasCallerPatience();
  const bool isUnavailable =
    aError.code_ == ResultCode::kEndpointUnreachable ||
    (aError.code_ == ResultCode::kEndpointRefused && IsUnderWay());
  const bool noneLeft =
    isUnavailable && !IsAnyUntried() && !MayAskAnotherHost();
  const bool isFutile =
    noneLeft || timeOnUnsentAttempts_ > kMaxTimeOnUnsentAttempts;
  if (!HasAttemptLeft() || (isFutile && !mayWait)) {
    return false;
  }
  // A response that has begun waits for the retry budget.
  return sends_ == 0 || IsUnderWay() || TryReserveRetry();
}

// Adds a retry delay to the error of a request that has not run, if it has
// none. An endpoint that is full or gone can't tell when another endpoint will
// have capacity. Without a delay, callers would retry at once and be rejected
// for good.
void RequestRun::EnsureRetryDelay(Error aError)
{
  if (aError.ran_ == RanState::kNo && !aError.retryAfter_) {
    aError.retryAfter_ = RandomRetryDelay();
    attempts_.OnFailed(aError);
  }
}

// Returns whether a request may be retried at another endpoint than that of an
// attempt.
bool RequestRun::MayRetryElsewhere(const RequestAttempt& aAttempt) const
{
  if (request_.relay_) {
    return request_.relay_->mayMove_;
  }
  std::set<std::string> failed = FailedEndpoints();
  failed.insert(aAttempt.EndpointId());
  return request_.route_->IsRepeatable() && MayReachAny(failed);
}

// Charges the retry budget for a further attempt. That of a relayed request is
// charged by the host that relayed it.
bool RequestRun::TryReserveRetry()
{
  return request_.relay_ || retry_.TryReserve();
}

} // namespace gooseberrylift
