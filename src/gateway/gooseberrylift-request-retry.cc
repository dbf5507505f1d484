// The part of RequestRun that decides whether another attempt may follow, and at
// which endpoints.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include "gooseberrylift-request-errors.h"

namespace gooseberrylift {

namespace {

// Failed connections don't count as attempts or against the retry budget, but
// take time. A refused connection takes only a few milliseconds, so a request
// tries further endpoints until it has lost this much time. With a maximum
// count instead, requests would fail if most endpoints had crashed at once.
constexpr std::chrono::milliseconds kMaxTimeOnUnsentAttempts{ 1'000 };

} // namespace

// A relayed request is sent to one endpoint only: the host that relayed it
// decides about the next attempt.
int RequestRun::MaxAttempts() const
{
  return request_.relay_ || probing_ ? 1 : request_.route_->maxAttempts_;
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
  const bool mayWait = streamStarted_ && HasCallerPatience();
  const bool noneLeft = aError.code_ == ResultCode::kEndpointUnreachable &&
                        !parts_.fleet_.Access().HasUntried(
                          request_.service_, tried_, request_.allowedZones_);
  const bool isFutile =
    noneLeft || timeOnUnsentAttempts_ > kMaxTimeOnUnsentAttempts;
  if (sends_ >= MaxAttempts() || (isFutile && !mayWait)) {
    return false;
  }
  // A response that has begun waits for the retry budget.
  return sends_ == 0 || streamStarted_ || TryReserveRetry();
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

// Returns whether a request that was already sent may be retried at another
// endpoint.
bool RequestRun::MayRetryElsewhere() const
{
  if (request_.relay_) {
    return request_.relay_->mayMove_;
  }
  return request_.route_->IsRepeatable() && sends_ < MaxAttempts();
}

// Charges the retry budget for a further attempt. That of a relayed request is
// charged by the host that relayed it.
bool RequestRun::TryReserveRetry()
{
  return request_.relay_ || retry_.TryReserve();
}

} // namespace gooseberrylift
