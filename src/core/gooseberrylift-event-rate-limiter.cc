#include "gooseberrylift/gooseberrylift-event-rate-limiter.h"

#include <utility>

namespace gooseberrylift {

std::optional<std::uint64_t> EventRateLimiter::Admit(TimePoint aNow)
{
  const auto second =
    std::chrono::floor<std::chrono::seconds>(aNow.time_since_epoch());
  if (second != currentSecond_) {
    currentSecond_ = second;
    admitted_ = 0;
  }
  if (admitted_ >= options_.perSecond_) {
    ++suppressed_;
    return std::nullopt;
  }
  ++admitted_;
  return std::exchange(suppressed_, 0);
}

} // namespace gooseberrylift
