// Bounds how often one kind of event is written.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_EVENT_LIMIT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_EVENT_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// In an overload each request may log a refusal, and the log would then cost
// more than the requests. Each second a number of occurrences passes; the first
// of a later second tells how many did not. Not thread-safe.
class EventLimit
{
public:
  struct Options
  {
    int perSecond_ = 20; // enough to see a pattern, and 6 kB/s at most
  };

  explicit EventLimit(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Asks whether an occurrence is to be written.
  /// @return the number left out since the last one written; nothing when this
  /// one is to be left out too
  std::optional<std::uint64_t> Pass(TimePoint aNow);

private:
  Options options_;
  std::chrono::seconds second_{ -1 };
  int passed_ = 0;
  std::uint64_t leftOut_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_EVENT_LIMIT_H_
