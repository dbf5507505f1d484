// The part of RequestRun that tells rejected callers when to return.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"

namespace gooseberrylift {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Returns whether a request that was rejected may be served some time later.
bool MayBeServedLater(const Error& aError)
{
  switch (aError.code_) {
    case ResultCode::kSuspectRequest:
    case ResultCode::kSuspectPart:
    case ResultCode::kFreshnessLost:
    case ResultCode::kDeadlineExceeded:
    case ResultCode::kCallerLeft:
      return false;
    default:
      return aError.ran_ == RanState::kNo;
  }
}

} // namespace

// Returns the error for the caller. Its retry delay is what the rejecting part
// expects, if it knows; the caller is told a time at which there is room for
// it.
Error RequestRun::MakeFinalError()
{
  Error error = attempts_.FinalError();
  if (streamStarted_ || !MayBeServedLater(error)) {
    return error;
  }
  error.retryAfter_ = error.retryAfter_.value_or(RandomRetryDelay());
  // The host that relayed a request tells its caller when to return.
  if (request_.identified_ && !request_.relay_) {
    error.retryAfter_ = PromiseReturn(*error.retryAfter_);
  }
  return error;
}

milliseconds RequestRun::PromiseReturn(milliseconds aExpectedWait)
{
  const EngineProfile* profile = FindEngineProfile();
  const microseconds work =
    profile != nullptr ? profile->PrefillTime(request_.facts_.promptTokens_)
                       : parts_.fleet_.Loads().With(
                           request_.service_, [](const ServiceLoad& aLoad) {
                             return aLoad.typicalDuration_;
                           });
  const milliseconds delay =
    parts_.promises_.Promise({ .attemptId_ = request_.facts_.attemptId_,
                               .fingerprint_ = request_.features_.content_,
                               .service_ = request_.service_,
                               .firstArrived_ = request_.firstArrived_,
                               .expectedWait_ = aExpectedWait,
                               .maxDelay_ = MaxRetryDelay(RemainingTime()),
                               .prefill_ = work,
                               .engines_ = CountParallel() });
  parts_.loadExchange_.OnListsChanged();
  return delay;
}

// Returns how many requests of the service are worked on at the same time:
// engines prefill one prompt after the other, plain endpoints use all slots.
std::size_t RequestRun::CountParallel() const
{
  const auto endpoints = parts_.fleet_.Access().Engines(request_.service_);
  if (FindEngineProfile() != nullptr) {
    return endpoints->size();
  }
  std::size_t slots = 0;
  for (const ListedEndpoint& endpoint : *endpoints) {
    slots += static_cast<std::size_t>(std::max(endpoint.slots_, 1));
  }
  return slots;
}

// Returns the time by which callers who return earlier delay this request. One
// that has returned itself has waited longer than most of them.
microseconds RequestRun::KeptPrefill(const FleetPlacement& aPlacement) const
{
  if (request_.firstArrived_ != request_.arrived_) {
    return microseconds(0);
  }
  const microseconds kept =
    parts_.promises_.KeptPrefill(request_.service_, aPlacement.firstAnswer_);
  if (kept == microseconds(0)) {
    return kept;
  }
  return kept /
         static_cast<std::int64_t>(std::max<std::size_t>(CountParallel(), 1));
}

} // namespace gooseberrylift
