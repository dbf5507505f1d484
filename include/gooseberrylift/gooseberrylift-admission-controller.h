// Admission control: decides whether a request may be queued. Without it the
// queue grows without bound under overload, most requests miss their deadlines
// after engines have already worked on them, and callers learn of it only at
// the deadline.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_CONTROLLER_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Estimates how fast the queued work of one team and service class drains, in
// engine seconds per second.
class DrainRate
{
public:
  /// Records engine time of a request that was dispatched after waiting.
  void OnServed(std::chrono::microseconds aCost, TimePoint aNow);

  /// Records whether work is queued. The rate is measured only while it is.
  void OnWaiting(bool aWaiting, TimePoint aNow);

  /// Returns the rate, which moves from the prior to the measured value.
  double Rate(double aPrior) const;

  /// Returns whether the entry has been idle long enough to be discarded.
  bool IsStale(TimePoint aNow) const;

private:
  void Decay(TimePoint aNow);

  double servedSeconds_ = 0;  // engine seconds, while work was queued
  double waitingSeconds_ = 0; // seconds in which work was queued
  bool hasWaiting_ = false;
  TimePoint lastUpdate_{};
};

// Predicts queueing delays for one service class of a queue. The drain rate is
// measured per team, so that it accounts for engine time taken by more urgent
// classes and other teams. A single rate for the whole queue ignored requests
// that arrived later but were served first, and admitted requests missed their
// deadlines under overload. Not thread-safe.
class AdmissionController
{
public:
  struct Options
  {
    // Factor on the predicted wait. A lower value lets admitted requests miss
    // their deadlines under overload; a higher one refuses more requests of a
    // burst than necessary.
    double waitMargin_ = 2.0;
    std::uint64_t seed_ = 1; // of the Retry-After jitter
  };

  explicit AdmissionController(Options aOptions);

  /// Sets the drain rate of the whole queue to assume before any measurement.
  void SetPriorRate(double aRate) { prior_ = aRate; }

  /// Returns the drain rate of a team, which the caller updates.
  DrainRate& DrainRateOf(const std::string& aTeam, TimePoint aNow);

  /// Predicts how long a team's queued work takes to drain.
  /// @param aTeam the team
  /// @param aQueuedCost its queued work, in engine time
  /// @param aShare the team's weighted share of the queue
  std::chrono::microseconds PredictDrainTime(
    const std::string& aTeam,
    std::chrono::microseconds aQueuedCost,
    double aShare) const;

  /// Records the time a request spent at its engine beyond its own prefill.
  void OnEngineWait(std::chrono::microseconds aWait);

  /// Returns the moving average of the wait at the engine.
  std::chrono::microseconds EngineWait() const;

  /// Returns whether a request with the given wait and service time, including
  /// safety margins, finishes by its deadline.
  bool MeetsDeadline(std::chrono::microseconds aWait,
                     std::chrono::microseconds aService,
                     TimePoint aDeadline,
                     TimePoint aNow) const;

  /// Returns a Retry-After time, chosen at random between once and twice the
  /// bounded wait, so that callers refused together do not retry together.
  std::chrono::milliseconds RetryAfter(std::chrono::microseconds aWait);

private:
  Options options_;
  std::minstd_rand random_;
  double prior_ = 1; // engine seconds per second
  double meanEngineWaitUs_ = 0;
  std::unordered_map<std::string, DrainRate> drainRates_;
  std::size_t sweepThreshold_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_CONTROLLER_H_
