// Decides whether a request is sent at all. The load it answers: bursts beyond
// what the endpoints can take. Without it every request waits at some engine,
// most of them until their callers have left, and the work done for those is
// lost to the ones that could have been served.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ROUTE_ADMISSION_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ROUTE_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace gooseberrylift {

// What is known when a request is to be admitted.
struct AdmissionQuestion
{
  std::chrono::microseconds predicted_{ 0 }; // until its first answer
  std::chrono::milliseconds remaining_{ 0 }; // until its deadline
  std::chrono::milliseconds patience_{ 0 };  // silence that its caller bears
  std::chrono::milliseconds held_{ 0 };      // of that, since it arrived
  std::uint64_t draw_ = 0; // a random number that spreads the returns
};

/// Judges a request.
/// @return nothing when it is to be sent; else when its caller should come
/// back: after the time by which the prediction is too long, spread over as
/// much again, so that those refused together don't return together
std::optional<std::chrono::milliseconds> RefuseFor(
  const AdmissionQuestion& aQuestion);

/// Gives when a caller should come back at the latest, of the time it has left:
/// it does not wait longer.
std::chrono::milliseconds LatestReturnOf(std::chrono::milliseconds aRemaining);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ROUTE_ADMISSION_H_
