#include "gooseberrylift/limits/gooseberrylift-rate-granter.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Lower rates grant nothing; the time between two permits would overflow.
constexpr double kMinGrantedRate = 1e-3;

std::uint64_t HashOf(const std::string& aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace

RateGrant RateGranter::RequestPermits(const Incarnation& aEndpoint,
                                      double aPerSecond,
                                      std::size_t aGranters,
                                      TimePoint aNow)
{
  const double rate =
    std::clamp(aPerSecond, options_.minPerSecond_, options_.maxPerSecond_) /
    static_cast<double>(aGranters);
  return Grant(aEndpoint,
               { .perSecond_ = rate,
                 .first_ = aNow + options_.settleTime_,
                 .hasOtherGranters_ = aGranters > 1 },
               aNow);
}

RateGrant RateGranter::RequestPermits(const Incarnation& aEndpoint,
                                      const GrantTerms& aTerms,
                                      TimePoint aNow)
{
  if (!(aTerms.perSecond_ >= kMinGrantedRate)) {
    return { .retryAfter_ = options_.maxRetry_ };
  }
  const auto found = grants_.find(aEndpoint);
  if (found != grants_.end()) {
    found->second.nextPermit_ =
      std::max(found->second.nextPermit_, aTerms.notBefore_);
  }
  return Grant(
    aEndpoint,
    { .perSecond_ = std::min(aTerms.perSecond_, options_.maxPerSecond_),
      .first_ = std::max(aTerms.notBefore_, aNow),
      .hasOtherGranters_ = true },
    aNow);
}

RateGrant RateGranter::Grant(const Incarnation& aEndpoint,
                             const Pace& aPace,
                             TimePoint aNow)
{
  const double rate = aPace.perSecond_;
  const auto interval =
    duration_cast<TimePoint::duration>(std::chrono::duration<double>(1 / rate));
  TimePoint first = aPace.first_;
  if (aPace.hasOtherGranters_) {
    first += duration_cast<TimePoint::duration>(interval * options_.phase_);
  }
  GrantState& granted =
    grants_
      .try_emplace(aEndpoint,
                   GrantState{ .nextPermit_ = first, .nextRetry_ = first })
      .first->second;
  granted.lastRequested_ = aNow;
  if (aNow >= granted.nextPermit_) {
    const double batch =
      rate * std::chrono::duration<double>(options_.batchInterval_).count();
    const int permits = std::max(static_cast<int>(std::floor(batch)), 1);
    // A request that comes up to an interval late doesn't lower the rate. With
    // several granting hosts there is no such allowance, because all of them
    // could catch up at the same moment.
    const TimePoint earliest = aPace.hasOtherGranters_ ? aNow : aNow - interval;
    granted.nextPermit_ =
      std::max(granted.nextPermit_, earliest) + permits * interval;
    return { .permits_ = permits };
  }
  granted.nextRetry_ = std::max(granted.nextRetry_, granted.nextPermit_);
  const TimePoint latest = aNow + options_.maxRetry_;
  const TimePoint retryAt = std::min(granted.nextRetry_, latest);
  if (granted.nextRetry_ < latest) {
    granted.nextRetry_ += interval;
  }
  return { .retryAfter_ =
             std::max(std::chrono::ceil<milliseconds>(retryAt - aNow),
                      options_.minRetry_) };
}

void RateGranter::Sweep(TimePoint aNow)
{
  std::erase_if(grants_, [&](const auto& aGranted) {
    return aNow - aGranted.second.lastRequested_ > options_.retention_;
  });
}

std::string ChooseGranter(const Incarnation& aEndpoint,
                          const std::vector<std::string>& aHosts)
{
  const std::uint64_t seed = HashOf(aEndpoint.id_, 0);
  const auto first =
    std::min_element(aHosts.begin(),
                     aHosts.end(),
                     [seed](const std::string& aOne, const std::string& aTwo) {
                       return std::pair(HashOf(aOne, seed), aOne) <
                              std::pair(HashOf(aTwo, seed), aTwo);
                     });
  return first == aHosts.end() ? std::string() : *first;
}

} // namespace gooseberrylift
