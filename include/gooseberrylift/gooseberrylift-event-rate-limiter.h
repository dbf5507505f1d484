// Rate limit for log events of one kind.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_EVENT_RATE_LIMITER_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_EVENT_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Limits the number of events per second. Under overload every request may log
// a rejection, and logging would then cost more than the requests themselves.
// The first event that is admitted in a later second reports how many were
// suppressed. Not thread-safe.
class EventRateLimiter
{
public:
  struct Options
  {
    int perSecond_ = 20; // enough to show a pattern, at most 6 kB/s of log
  };

  explicit EventRateLimiter(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Decides whether an event is written.
  /// @return the number of events suppressed since the last one written, or
  /// std::nullopt if this event is suppressed as well
  std::optional<std::uint64_t> Admit(TimePoint aNow);

private:
  Options options_;
  std::chrono::seconds currentSecond_{ -1 };
  int admitted_ = 0;
  std::uint64_t suppressed_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_EVENT_RATE_LIMITER_H_
