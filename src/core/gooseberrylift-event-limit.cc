#include "gooseberrylift/gooseberrylift-event-limit.h"

#include <utility>

namespace gooseberrylift {

std::optional<std::uint64_t> EventLimit::Pass(TimePoint aNow)
{
  const auto second =
    std::chrono::floor<std::chrono::seconds>(aNow.time_since_epoch());
  if (second != second_) {
    second_ = second;
    passed_ = 0;
  }
  if (passed_ >= options_.perSecond_) {
    ++leftOut_;
    return std::nullopt;
  }
  ++passed_;
  return std::exchange(leftOut_, 0);
}

} // namespace gooseberrylift
