// Decides when a long prompt goes to its engines. The load it answers: bursts
// of long prompts that ask for more reading than the fleet can do. Sent at
// once, all of them queue up inside the engines, where each stretches the
// passes of the others and of every short request, for seconds after the burst
// has ended. Held here they wait as long, but disturb nobody, and the shorter
// ones, which are worth more for their reading, go first.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_LONG_HOLD_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_LONG_HOLD_H_

#include <chrono>

namespace gooseberrylift {

// What is known of a long prompt that might be sent now.
struct HoldQuestion
{
  // At its engines, before its read, with a share of the harm to others there.
  std::chrono::microseconds wait_{ 0 };
  std::chrono::microseconds read_{ 0 };      // on one engine
  std::chrono::microseconds part_{ 0 };      // that one of its engines reads
  std::chrono::milliseconds waited_{ 0 };    // since it arrived
  std::chrono::milliseconds remaining_{ 0 }; // until its deadline
  std::chrono::milliseconds patience_{ 0 };  // silence that its caller bears
  std::chrono::milliseconds objective_{ 0 }; // for the first answer
  bool blind_ = false; // the wait is known without other hosts' requests
};

struct HoldOptions
{
  // The wait at its engines, with a share of the harm that it would do there,
  // with which a prompt that reads for a second is sent; more for shorter ones
  // and less for longer ones. With more the engines' queues grow again, with
  // less they run dry.
  std::chrono::milliseconds allowedWait_{ 400 };
  // Bounds of that scaling.
  double leastFactor_ = 0.15;
  double mostFactor_ = 2;
  // After this share of what its caller bears, less its own reads below, a
  // prompt is sent or given up. Sooner, prompts go into full engines that could
  // still have waited; later, more of them come too late for their callers.
  double latestShare_ = 0.9;
  // A host that knows nothing of the others waits for their word for this part
  // of the objective: they are there within a quarter of a second after a
  // start. Sent at once, all prompts that come back after a power cut go to the
  // same engines, and short requests wait behind them.
  double blindShare_ = 0.2;
  // The same allowed wait of a prompt that misses its objective in any case: it
  // lets those go first that need not. With none, more of the late ones come
  // too late for their callers.
  double lateFactor_ = 0.25;
  // The reads of its own part that are kept free of that time: sent then, it
  // still comes in time. Without it the largest prompts are held until they
  // can't come any more, and then refused with hardly a second left to return
  // in.
  double ownRead_ = 1;
  // The wait with which it is sent then. With more it goes back to its caller,
  // who may return when the burst is over: sent whatever the wait, it makes a
  // hundred short requests late.
  std::chrono::milliseconds lastWait_{ 150 };
  std::chrono::milliseconds step_{ 40 }; // until it is looked at again
};

enum class HoldVerdict
{
  kSend,
  kHold,  // look at it again after HoldOptions::step_
  kGiveUp // it can't come in time any more, or only at the cost of others
};

/// Judges a long prompt.
HoldVerdict HoldLong(const HoldQuestion& aQuestion,
                     const HoldOptions& aOptions);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_LONG_HOLD_H_
