#include "gooseberrylift/gooseberrylift-admission.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kLeastRetryAfter{ 250 };
constexpr milliseconds kMostRetryAfter{ 60'000 };
// Decoding beside a long prompt takes longer than on the average.
constexpr double kServiceMargin = 1.3;
constexpr double kWaitGain = 0.05;
constexpr double kLeastRate = 0.01;
// How far the rate's memory reaches: a second of a burst of five counts, and
// a lull of the same length does not spoil it.
constexpr std::chrono::seconds kMemory{ 4 };
constexpr std::size_t kFirstSweep = 256;
constexpr double kPriorSeconds = 0.5; // the weight of the prior

double Seconds(microseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void DrainRate::OnServed(microseconds aCost, TimePoint aNow)
{
  Forget(aNow);
  served_ += Seconds(aCost);
}

void DrainRate::OnWaiting(bool aWaiting, TimePoint aNow)
{
  Forget(aNow);
  waiting_ = aWaiting;
}

double DrainRate::Rate(double aPrior) const
{
  return std::max(kLeastRate,
                  (served_ + aPrior * kPriorSeconds) / (busy_ + kPriorSeconds));
}

bool DrainRate::IsStale(TimePoint aNow) const
{
  return !waiting_ && aNow - last_ > kMemory * 10;
}

void DrainRate::Forget(TimePoint aNow)
{
  const std::chrono::duration<double> since = aNow - last_;
  const std::chrono::duration<double> memory = kMemory;
  const double kept = std::exp(-(since / memory));
  last_ = aNow;
  served_ *= kept;
  // Time in which nothing waited teaches nothing of the rate.
  busy_ = busy_ * kept + (waiting_ ? since.count() : 0);
}

Admission::Admission(Options aOptions)
  : options_(aOptions)
  , random_(static_cast<std::uint32_t>(aOptions.seed_))
  , sweepAt_(kFirstSweep)
{
}

DrainRate& Admission::DrainOf(const std::string& aTeam, TimePoint aNow)
{
  if (drains_.size() > sweepAt_) {
    std::erase_if(drains_, [aNow](const auto& aEntry) {
      return aEntry.second.IsStale(aNow);
    });
    sweepAt_ = std::max(kFirstSweep, drains_.size() * 2);
  }
  return drains_[aTeam];
}

microseconds Admission::WaitFor(const std::string& aTeam,
                                microseconds aWork,
                                double aShare) const
{
  const auto found = drains_.find(aTeam);
  const double prior = prior_ * aShare;
  const double rate =
    found == drains_.end() ? prior : found->second.Rate(prior);
  return microseconds(static_cast<std::int64_t>(
    static_cast<double>(aWork.count()) / std::max(kLeastRate, rate)));
}

void Admission::OnEngineWait(microseconds aWait)
{
  const auto wait =
    static_cast<double>(std::max(microseconds(0), aWait).count());
  engineWaitUs_ += kWaitGain * (wait - engineWaitUs_);
}

microseconds Admission::EngineWait() const
{
  return microseconds(static_cast<std::int64_t>(engineWaitUs_));
}

bool Admission::Fits(microseconds aWait,
                     microseconds aService,
                     TimePoint aDeadline,
                     TimePoint aNow) const
{
  const double needed = static_cast<double>(aWait.count()) * options_.margin_ +
                        static_cast<double>(aService.count()) * kServiceMargin;
  return aNow + microseconds(static_cast<std::int64_t>(needed)) <= aDeadline;
}

milliseconds Admission::RetryAfter(microseconds aWait)
{
  const auto wait = std::clamp(std::chrono::duration_cast<milliseconds>(aWait),
                               kLeastRetryAfter,
                               kMostRetryAfter / 2);
  std::uniform_int_distribution<std::int64_t> spread(wait.count(),
                                                     2 * wait.count());
  return milliseconds(spread(random_));
}

} // namespace gooseberrylift
