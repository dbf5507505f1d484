#include "gooseberrylift/limits/gooseberrylift-fleet-retry-budget.h"

#include <algorithm>

namespace gooseberrylift {

std::int64_t SlidingWindowCounter::SliceOf(TimePoint aNow,
                                           std::chrono::milliseconds aWindow)
{
  const auto length = std::max<std::int64_t>(aWindow.count() / kSlices, 1);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aNow.time_since_epoch())
           .count() /
         length;
}

void SlidingWindowCounter::Add(TimePoint aNow,
                               std::chrono::milliseconds aWindow)
{
  const std::int64_t number = SliceOf(aNow, aWindow);
  Slice& slice = slices_.at(static_cast<std::size_t>(number % (kSlices + 1)));
  if (slice.number_ != number) {
    slice = { .number_ = number };
  }
  ++slice.count_;
}

std::uint64_t SlidingWindowCounter::Sum(TimePoint aNow,
                                        std::chrono::milliseconds aWindow) const
{
  const std::int64_t number = SliceOf(aNow, aWindow);
  std::uint64_t sum = 0;
  for (const Slice& slice : slices_) {
    if (slice.number_ >= 0 && slice.number_ >= number - kSlices) {
      sum += slice.count_;
    }
  }
  return sum;
}

void FleetRetryBudget::OnRequest(const std::string& aService, TimePoint aNow)
{
  services_[aService].requests_.Add(aNow, options_.window_);
}

bool FleetRetryBudget::TryRetry(const std::string& aService,
                                std::size_t aHosts,
                                TimePoint aNow)
{
  const RetryBudgetState state = StateOf(aService, aHosts, aNow);
  if (state.limit_ - static_cast<double>(state.retries_) < 1) {
    return false;
  }
  services_[aService].retries_.Add(aNow, options_.window_);
  return true;
}

RetryBudgetState FleetRetryBudget::StateOf(const std::string& aService,
                                           std::size_t aHosts,
                                           TimePoint aNow) const
{
  RetryBudgetState state{ .hosts_ = std::max<std::size_t>(aHosts, 1) };
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    const Counts& counts = found->second;
    state.requests_ = counts.requests_.Sum(aNow, options_.window_);
    state.retries_ = counts.retries_.Sum(aNow, options_.window_);
  }
  const double share = options_.allowance_ / static_cast<double>(state.hosts_);
  state.limit_ =
    (options_.ratio_ * static_cast<double>(state.requests_) + share) *
    options_.safetyFactor_;
  return state;
}

} // namespace gooseberrylift
