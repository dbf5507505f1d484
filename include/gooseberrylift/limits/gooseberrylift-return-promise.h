// A time to come back that a host has given to a rejected caller, as hosts
// report it to each other.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RETURN_PROMISE_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RETURN_PROMISE_H_

#include <chrono>
#include <cstdint>

namespace gooseberrylift {

// Durations count from the time of the message.
struct ReturnPromise
{
  std::uint64_t request_ = 0; // hash of the request's fingerprint
  std::uint32_t service_ = 0; // NameHash of the service
  // Until the caller is to return; negative if that time has passed.
  std::chrono::milliseconds untilDue_{ 0 };
  std::chrono::milliseconds sinceArrival_{ 0 }; // of the rejected request
  // Prefill time that is kept free for it, on a single engine.
  std::chrono::milliseconds prefill_{ 0 };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RETURN_PROMISE_H_
