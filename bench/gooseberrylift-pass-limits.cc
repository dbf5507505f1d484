#include "gooseberrylift-pass-limits.h"

#include <algorithm>

#include "gooseberrylift-pass-player.h"

namespace gooseberrylift::bench {

namespace {

constexpr std::int64_t kRoundTrip = 3'000; // us, between two hosts
constexpr std::int64_t kWindow = 4'000'000;

// Delay until all hosts know a limit and their requests are counted.
constexpr double kPropagationDelay = 0.3; // s

} // namespace

PassLimits::PassLimits(VirtualClock& aClock,
                       PassLimitOptions aOptions,
                       int aHosts)
  : clock_(aClock)
  , options_(aOptions)
  , permits_(static_cast<std::size_t>(aHosts),
             RatePermits(RatePermits::Options{}))
{
  for (int host = 0; host < aHosts; ++host) {
    granters_.emplace_back(
      RateGranter::Options{ .phase_ = 1.0 * host / aHosts });
  }
}

bool PassLimits::IsLimited(const std::string& aEngine) const
{
  const double now = static_cast<double>(clock_.Now()) / 1e6;
  if (now < options_.fromSeconds_ + kPropagationDelay ||
      now > options_.toSeconds_) {
    return false;
  }
  for (int engine = 0; engine < options_.engines_; ++engine) {
    if (aEngine == "engine-" + std::to_string(engine)) {
      return true;
    }
  }
  return false;
}

bool PassLimits::MayUse(std::size_t aHost, const std::string& aEngine)
{
  if (!IsLimited(aEngine) || options_.mode_ == PassLimitMode::kIgnored) {
    return true;
  }
  if (options_.mode_ == PassLimitMode::kAvoided) {
    return false;
  }
  const Incarnation engine{ .id_ = aEngine };
  if (permits_[aHost].Has(engine, At(clock_))) {
    return true;
  }
  if (permits_[aHost].TryBeginRequest(engine, At(clock_))) {
    RequestPermits(aHost, engine);
  }
  return false;
}

void PassLimits::RequestPermits(std::size_t aHost, const Incarnation& aEngine)
{
  const bool apart = options_.mode_ == PassLimitMode::kEvenParts;
  RateGranter& granter = granters_[apart ? aHost : 0];
  const RateGrant verdict = granter.RequestPermits(
    aEngine, options_.perSecond_, apart ? granters_.size() : 1, At(clock_));
  clock_.After(kRoundTrip, [this, aHost, aEngine, verdict] {
    permits_[aHost].OnGrant(aEngine, verdict, At(clock_));
  });
}

void PassLimits::OnSent(std::size_t aHost, const std::string& aEngine)
{
  if (!IsLimited(aEngine)) {
    return;
  }
  permits_[aHost].Take({ .id_ = aEngine }, At(clock_));
  std::deque<std::int64_t>& window = window_[aEngine];
  window.push_back(clock_.Now());
  while (clock_.Now() - window.front() > kWindow) {
    window.pop_front();
  }
  ++count_.sent_;
  count_.maxInWindow_ = std::max(count_.maxInWindow_, window.size());
}

} // namespace gooseberrylift::bench
