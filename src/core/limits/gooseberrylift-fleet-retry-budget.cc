#include "gooseberrylift/limits/gooseberrylift-fleet-retry-budget.h"

#include <utility>

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

void FleetRetryBudget::SetHosts(std::size_t aHosts, TimePoint aNow)
{
  if (hosts_ == 0 || aNow - hostsSince_ >= options_.window_) {
    formerHosts_ = std::exchange(hosts_, 0);
    hostsSince_ = aNow;
  }
  hosts_ = std::max(hosts_, aHosts);
}

void FleetRetryBudget::OnRequest(const std::string& aService, TimePoint aNow)
{
  services_[aService].requests_.Add(aNow, options_.window_);
}

bool FleetRetryBudget::TryReserve(const std::string& aService, TimePoint aNow)
{
  const RetryBudgetState state = StateOf(aService, aNow);
  if (static_cast<double>(state.retries_ + state.reserved_ + 1) >
      state.limit_) {
    return false;
  }
  ++services_[aService].reserved_;
  return true;
}

void FleetRetryBudget::OnSent(const std::string& aService, TimePoint aNow)
{
  Release(aService);
  services_[aService].retries_.Add(aNow, options_.window_);
}

void FleetRetryBudget::Release(const std::string& aService)
{
  --services_[aService].reserved_;
}

RetryBudgetState FleetRetryBudget::StateOf(const std::string& aService,
                                           TimePoint aNow) const
{
  RetryBudgetState state{
    .hosts_ = Hosts(),
    .age_ = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - start_)
  };
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    const Counts& counts = found->second;
    state.requests_ = counts.requests_.Sum(aNow, options_.window_);
    state.retries_ = counts.retries_.Sum(aNow, options_.window_);
    state.reserved_ = counts.reserved_;
  }
  state.limit_ = LimitFor(state);
  return state;
}

double FleetRetryBudget::LimitFor(const RetryBudgetState& aState) const
{
  const double proportional =
    options_.ratio_ * static_cast<double>(aState.requests_);
  const double share =
    aState.hosts_ > 0 ? options_.allowance_ / static_cast<double>(aState.hosts_)
                      : 0;
  if (aState.age_ >= options_.window_) {
    return options_.establishedRatioPart_ * proportional +
           options_.establishedAllowancePart_ * share;
  }
  const double uptime = std::chrono::duration<double>(aState.age_) /
                        std::chrono::duration<double>(options_.window_);
  return options_.startingRatioPart_ * proportional +
         (options_.startAllowancePart_ +
          options_.uptimeAllowancePart_ * uptime) *
           share +
         options_.startingCredit_;
}

} // namespace gooseberrylift
