// Decides whether a request may wait. The load pattern it answers: overload,
// where the queue grows without end. Without it each request waits, most miss
// their deadlines after the fleet has worked for them, and callers learn it at
// the last moment.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Learns the rate at which a queue drains, in engine time a second, and
// predicts waits by it. One for each queue; not thread-safe.
class Admission
{
public:
  struct Options
  {
    // How far the rate's memory reaches: a second of a burst of five counts,
    // and a lull of the same length does not spoil it.
    std::chrono::seconds memory_{ 3 };
    // A prediction is off by a third at times (decision-bench f1.5), and a
    // miss costs more than a refusal, which can be sent again.
    double margin_ = 1.4;
    std::uint64_t seed_ = 1; // of the spread of Retry-After
  };

  explicit Admission(Options aOptions);

  /// Sets the rate assumed before anything is learnt.
  void SetPriorRate(double aRate) { prior_ = aRate; }

  /// Notes engine time that left the queue or passed it by.
  void OnServed(std::chrono::microseconds aCost, TimePoint aNow);

  /// Notes whether work waits; the rate is learnt only while some does.
  void OnWaiting(bool aWaiting, TimePoint aNow);

  /// Predicts how long work takes to drain.
  std::chrono::microseconds WaitFor(std::chrono::microseconds aWork) const;

  /// Says whether a request that waits so long and then takes so long is done
  /// by its deadline.
  bool Fits(std::chrono::microseconds aWait,
            std::chrono::microseconds aService,
            TimePoint aDeadline,
            TimePoint aNow) const;

  /// Gives a time to come back, spread over twice the wait, so that those who
  /// were refused together do not return together.
  std::chrono::milliseconds RetryAfter(std::chrono::microseconds aWait);

private:
  void Forget(TimePoint aNow);

  Options options_;
  std::mt19937_64 random_;
  double prior_ = 1;  // engine seconds a second
  double served_ = 0; // engine seconds, while work waited
  double busy_ = 0;   // seconds in which work waited
  bool waiting_ = false;
  TimePoint last_{};
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_H_
