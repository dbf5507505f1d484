// Limits how many engines one request may fail on, because the request itself
// may be what makes them fail.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPT_LIMIT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPT_LIMIT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Counts failures at the same token apart from failures at different ones. A
// request that crashes engines usually does so at one token, so few are
// allowed there. A stream that goes on between its failures more likely shared
// its engines with their cause, but is limited as well.
class AttemptLimit
{
public:
  struct Options
  {
    int maxAtOneToken_ = 3;        // failures in a row
    std::size_t maxInWindow_ = 10; // failures at any token
    std::chrono::milliseconds window_{ 60'000 };
  };

  explicit AttemptLimit(Options aOptions);

  /// Records the failure of an attempt that may have been executed.
  /// @param aNextToken the index of the token that the engine did not send
  /// @param aNow the current time
  void OnFailed(std::uint64_t aNextToken, TimePoint aNow);

  /// Returns whether another attempt may be started.
  bool AllowsAttempt(TimePoint aNow) const;

private:
  Options options_;
  std::uint64_t failedToken_ = 0; // of the last failure
  int atFailedToken_ = 0;
  std::deque<TimePoint> failures_; // the last maxInWindow_
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPT_LIMIT_H_
