#include "gooseberrylift/gooseberrylift-attempt-limit.h"

namespace gooseberrylift {

AttemptLimit::AttemptLimit(Options aOptions)
  : options_(aOptions)
{
}

void AttemptLimit::OnFailed(std::uint64_t aNextToken, TimePoint aNow)
{
  atFailedToken_ = aNextToken == failedToken_ ? atFailedToken_ + 1 : 1;
  failedToken_ = aNextToken;
  failures_.push_back(aNow);
  if (failures_.size() > options_.maxInWindow_) {
    failures_.pop_front();
  }
}

bool AttemptLimit::AllowsAttempt(TimePoint aNow) const
{
  return atFailedToken_ < options_.maxAtOneToken_ &&
         (failures_.size() < options_.maxInWindow_ ||
          aNow - failures_.front() >= options_.window_);
}

} // namespace gooseberrylift
