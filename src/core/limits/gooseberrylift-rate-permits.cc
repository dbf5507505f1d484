#include "gooseberrylift/limits/gooseberrylift-rate-permits.h"

namespace gooseberrylift {

using std::chrono::milliseconds;

bool RatePermits::Has(const Incarnation& aEndpoint, TimePoint aNow) const
{
  const auto found = states_.find(aEndpoint);
  return found != states_.end() && found->second.permits_ > 0 &&
         aNow < found->second.expires_;
}

bool RatePermits::Take(const Incarnation& aEndpoint, TimePoint aNow)
{
  if (!Has(aEndpoint, aNow)) {
    return false;
  }
  --states_.at(aEndpoint).permits_;
  return true;
}

bool RatePermits::TryBeginRequest(const Incarnation& aEndpoint, TimePoint aNow)
{
  PermitState& state = states_[aEndpoint];
  if (state.pending_ || aNow < state.nextRequest_) {
    return false;
  }
  state.pending_ = true;
  state.lastRequested_ = aNow;
  return true;
}

void RatePermits::OnGrant(const Incarnation& aEndpoint,
                          const RateGrant& aGrant,
                          TimePoint aNow)
{
  const auto found = states_.find(aEndpoint);
  if (found == states_.end()) {
    return; // the limit was lifted in the meantime
  }
  PermitState& state = found->second;
  state.pending_ = false;
  state.permits_ = aGrant.permits_;
  state.expires_ =
    state.lastRequested_ + aGrant.lifetime_.value_or(options_.lifetime_);
  state.nextRequest_ = aNow + aGrant.retryAfter_;
}

void RatePermits::OnRequestFailed(const Incarnation& aEndpoint, TimePoint aNow)
{
  OnGrant(aEndpoint, { .retryAfter_ = options_.failureRetry_ }, aNow);
}

milliseconds RatePermits::TimeUntilPermit(const Incarnation& aEndpoint,
                                          TimePoint aNow) const
{
  const auto found = states_.find(aEndpoint);
  if (found == states_.end() || found->second.pending_) {
    return milliseconds(0);
  }
  return std::chrono::ceil<milliseconds>(found->second.nextRequest_ - aNow);
}

} // namespace gooseberrylift
