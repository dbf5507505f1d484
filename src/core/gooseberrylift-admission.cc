#include "gooseberrylift/gooseberrylift-admission.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kLeastRetryAfter{ 250 };
constexpr milliseconds kMostRetryAfter{ 60'000 };
constexpr double kLeastRate = 0.01;
constexpr double kPriorSeconds = 0.5; // the weight of the prior

double Seconds(microseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

Admission::Admission(Options aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
{
}

void Admission::OnServed(microseconds aCost, TimePoint aNow)
{
  Forget(aNow);
  if (waiting_) {
    served_ += Seconds(aCost);
  }
}

void Admission::OnWaiting(bool aWaiting, TimePoint aNow)
{
  Forget(aNow);
  waiting_ = aWaiting;
}

microseconds Admission::WaitFor(microseconds aWork) const
{
  const double rate = std::max(
    kLeastRate, (served_ + prior_ * kPriorSeconds) / (busy_ + kPriorSeconds));
  return microseconds(
    static_cast<std::int64_t>(static_cast<double>(aWork.count()) / rate));
}

bool Admission::Fits(microseconds aWait,
                     microseconds aService,
                     TimePoint aDeadline,
                     TimePoint aNow) const
{
  const auto needed = microseconds(static_cast<std::int64_t>(
    static_cast<double>((aWait + aService).count()) * options_.margin_));
  return aNow + needed <= aDeadline;
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

void Admission::Forget(TimePoint aNow)
{
  const std::chrono::duration<double> since = aNow - last_;
  const std::chrono::duration<double> memory = options_.memory_;
  const double kept = std::exp(-(since / memory));
  last_ = aNow;
  served_ *= kept;
  // Time in which nothing waited teaches nothing of the rate.
  busy_ = busy_ * kept + (waiting_ ? since.count() : 0);
}

} // namespace gooseberrylift
