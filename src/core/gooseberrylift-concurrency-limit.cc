#include "gooseberrylift/gooseberrylift-concurrency-limit.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

// The usual time falls at once to a faster call and rises slowly, so that a
// long overload is not taken for the usual, and a change of the service is.
constexpr double kRise = 0.002;

// A limit that is not used says nothing of what the endpoint bears.
constexpr double kUsedShare = 0.5;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(Options aOptions)
  : options_(aOptions)
  , limit_(aOptions.first_)
{
}

void ConcurrencyLimit::OnFinished(std::chrono::microseconds aTook,
                                  bool aFailed,
                                  int aOutstanding)
{
  if (aFailed) {
    limit_ = std::max(options_.least_, limit_ * options_.decrease_);
    return;
  }
  const auto took = static_cast<double>(aTook.count());
  if (usualUs_ == 0 || took < usualUs_) {
    usualUs_ = took;
  } else {
    usualUs_ += kRise * (took - usualUs_);
  }
  if (took > options_.slowFactor_ * usualUs_ + 1000) {
    limit_ = std::max(options_.least_, limit_ - (1 - options_.decrease_));
  } else if (aOutstanding >= kUsedShare * limit_) {
    limit_ = std::min(options_.most_, limit_ + 1 / limit_);
  }
}

} // namespace gooseberrylift
