// Admission control for routes: rejects requests that can't be answered in
// time. Without it, in a burst beyond the capacity of the endpoints every
// request would queue at an engine, most of them until their callers have
// disconnected, and the work done for those would be wasted.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ROUTE_ADMISSION_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ROUTE_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace gooseberrylift {

// The state of a request that needs an admission decision.
struct AdmissionInput
{
  std::chrono::microseconds predicted_{ 0 }; // time to its first token
  // Prefill time per engine that is kept for callers who were told to return
  // before this request would be served; zero for such a caller itself. It
  // counts only if the request would miss its objective: one that can meet it
  // does not yield to callers most of whom have missed theirs.
  std::chrono::microseconds kept_{ 0 };
  std::chrono::milliseconds objective_{ 0 };
  // The caller returned before the time that it was told.
  bool returnedEarly_ = false;
  std::chrono::milliseconds remaining_{ 0 };          // until its deadline
  std::chrono::milliseconds callerStallTimeout_{ 0 }; // caller's stall timeout
  std::chrono::milliseconds held_{ 0 }; // time held since its arrival
  std::uint64_t draw_ = 0; // random number that spreads the retries
};

/// Decides whether a request is admitted.
/// @return nothing if it is admitted; otherwise the delay before its caller
/// should retry, apart from what is kept for others: the time by which the
/// prediction is too long, plus a random part of up to as much again, so that
/// requests rejected together don't return together; none if the draw is zero
std::optional<std::chrono::milliseconds> RetryDelayIfRefused(
  const AdmissionInput& aInput);

/// Returns the longest retry delay for a caller with the given remaining time.
/// Callers don't wait for longer ones.
std::chrono::milliseconds MaxRetryDelay(std::chrono::milliseconds aRemaining);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ROUTE_ADMISSION_H_
