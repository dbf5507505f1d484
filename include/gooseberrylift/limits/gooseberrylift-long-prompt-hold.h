// Decides when a long prompt is sent to its engines. A burst of long prompts
// can need more prefill than the fleet has capacity for. If they were all sent
// immediately, they would queue up inside the engines, where each one lengthens
// the batch steps of the others and of every short request, for seconds after
// the burst. Held at this host they wait as long but slow nothing else down,
// and the shorter ones, which have more value per prefill time, are sent first.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_LONG_PROMPT_HOLD_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_LONG_PROMPT_HOLD_H_

#include <chrono>

namespace gooseberrylift {

// The state of a long prompt that could be sent now.
struct HoldInput
{
  // Wait at its engines before its prefill starts, plus a share of the delay
  // that it would cause to other requests there.
  std::chrono::microseconds wait_{ 0 };
  std::chrono::microseconds prefill_{ 0 }; // prefill time on a single engine
  std::chrono::microseconds partialPrefill_{
    0
  }; // the part of one of its engines
  std::chrono::milliseconds sinceArrival_{ 0 };       // since it arrived
  std::chrono::milliseconds remaining_{ 0 };          // until its deadline
  std::chrono::milliseconds callerStallTimeout_{ 0 }; // caller's stall timeout
  std::chrono::milliseconds objective_{ 0 };          // for the first token
  bool peerLoadUnknown_ =
    false; // wait_ doesn't include the requests of other hosts
  // It precedes all other prompts that wait at any host.
  bool isFirst_ = false;
};

struct HoldOptions
{
  // The wait at its engines, as in HoldInput, up to which a prompt with a
  // prefill of one second is sent. It is scaled up for shorter prompts and down
  // for longer ones. Higher values let the engines' queues grow again, lower
  // ones leave engines idle.
  std::chrono::milliseconds allowedWait_{ 400 };
  // Bounds of the scaling factor.
  double minFactor_ = 0.15;
  double maxFactor_ = 2;
  // The smallest factor for the prompt that precedes all others that wait.
  double firstFactor_ = 1;
  // After this share of the time that its caller waits, less ownPrefillFactor_
  // prefills, a prompt is sent or rejected. Lower values send prompts to busy
  // engines that could still have waited; with higher ones more prompts miss
  // their callers' timeouts.
  double maxHoldShare_ = 0.9;
  // A host that doesn't know the load of the others holds prompts for this
  // share of the objective: load reports arrive within a quarter of a second
  // after a start. Otherwise all prompts that are retried after a power outage
  // would go to the same engines, and short requests would wait behind them.
  double blindHoldShare_ = 0.2;
  // Factor on the allowed wait of a prompt that will miss its objective anyway,
  // so that prompts that can still meet theirs are sent first. With zero, more
  // of the late prompts miss their callers' timeouts.
  double missedObjectiveFactor_ = 0.25;
  // Prefills of its own part that are reserved at the end of the hold, so that
  // a prompt sent then still completes in time. Without it, the largest prompts
  // are held until they can't complete any more, and then rejected with hardly
  // a second left for a retry.
  double ownPrefillFactor_ = 1;
  // The wait up to which a prompt is sent at the end of the hold. Above it, the
  // prompt is rejected, and its caller may retry after the burst. Sending it
  // regardless of the wait makes a hundred short requests late.
  std::chrono::milliseconds finalAllowedWait_{ 150 };
  std::chrono::milliseconds recheckInterval_{ 40 }; // until the next decision
};

enum class HoldDecision
{
  kSend,
  kHold,  // decide again after HoldOptions::recheckInterval_
  kReject // it can't complete in time, or only by delaying other requests
};

/// Returns how long a prompt may still be held.
/// @return negative or zero if it must be sent or rejected now
std::chrono::milliseconds RemainingHold(const HoldInput& aInput,
                                        const HoldOptions& aOptions);

/// Decides whether a long prompt is sent now, held or rejected.
HoldDecision DecideLongPromptHold(const HoldInput& aInput,
                                  const HoldOptions& aOptions);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_LONG_PROMPT_HOLD_H_
