#include "gooseberrylift/gooseberrylift-concurrency-limit.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

// The baseline drops to a faster call immediately but rises slowly, so that it
// follows a lasting change of the service without absorbing a long overload.
constexpr double kBaselineRiseGain = 0.002;

// The limit grows only while at least this share of it is in use; below that,
// latency says nothing about the capacity of the endpoint.
constexpr double kMinUtilization = 0.5;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(Options aOptions)
  : options_(aOptions)
  , limit_(aOptions.initial_)
{
}

void ConcurrencyLimit::OnFinished(std::chrono::microseconds aDuration,
                                  bool aFailed,
                                  int aOutstanding)
{
  if (aFailed) {
    limit_ = std::max(options_.min_, limit_ * options_.decrease_);
    return;
  }
  const auto durationUs = static_cast<double>(aDuration.count());
  if (baselineUs_ == 0 || durationUs < baselineUs_) {
    baselineUs_ = durationUs;
  } else {
    baselineUs_ += kBaselineRiseGain * (durationUs - baselineUs_);
  }
  if (durationUs > options_.slowFactor_ * baselineUs_ + 1000) {
    limit_ = std::max(options_.min_, limit_ - (1 - options_.decrease_));
  } else if (aOutstanding >= kMinUtilization * limit_) {
    limit_ = std::min(options_.max_, limit_ + 1 / limit_);
  }
}

} // namespace gooseberrylift
