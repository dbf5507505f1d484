// A prompt that waits at a host for capacity, as hosts report it to each other.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_WAITING_PROMPT_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_WAITING_PROMPT_H_

#include <chrono>
#include <cstdint>

namespace gooseberrylift {

// Durations count from the time of the message. Names are sent as hashes, so
// that a message has room for several prompts.
struct WaitingPrompt
{
  std::uint64_t id_ = 0;      // unique over all hosts
  std::uint32_t service_ = 0; // NameHash of the service
  std::uint32_t team_ = 0;    // NameHash of the team; 0 if there is none
  int priority_ = 0;          // of the team or the route; 0 is the most urgent
  std::chrono::milliseconds waited_{ 0 }; // since its first arrival
  // Until it must be sent to complete in time.
  std::chrono::milliseconds remaining_{ 0 };
  std::uint32_t engines_ = 1;              // that it needs at the same time
  std::uint64_t memoryTokens_ = 0;         // KV cache over all of its engines
  std::chrono::milliseconds prefill_{ 0 }; // on a single engine
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_WAITING_PROMPT_H_
