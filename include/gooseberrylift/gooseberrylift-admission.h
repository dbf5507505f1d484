// Decides whether a request may wait. The load pattern it answers: overload,
// where the queue grows without end. Without it each request waits, most miss
// their deadlines after the fleet has worked for them, and callers learn it at
// the last moment.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Learns how fast the waiting work of one team and class drains, in engine
// time a second.
class DrainRate
{
public:
  /// Notes engine time that was served after a wait.
  void OnServed(std::chrono::microseconds aCost, TimePoint aNow);

  /// Notes whether work waits; the rate is learnt only while some does.
  void OnWaiting(bool aWaiting, TimePoint aNow);

  /// Gives the rate, which moves from the prior to what was seen.
  double Rate(double aPrior) const;

  bool IsStale(TimePoint aNow) const;

private:
  void Forget(TimePoint aNow);

  double served_ = 0; // engine seconds, while work waited
  double busy_ = 0;   // seconds in which work waited
  bool waiting_ = false;
  TimePoint last_{};
};

// Predicts waits for one class of a queue. The rate is learnt for each team,
// so that what more urgent classes and other teams will take in the meantime is
// in it: with one rate for the queue the predicted wait left out all that came
// later and went first, and admitted requests missed their deadline in an
// overload. Not thread-safe.
class Admission
{
public:
  struct Options
  {
    // Of the predicted wait. With less, admitted requests miss their deadline
    // in an overload; with more, a burst has more refusals than it needs.
    double margin_ = 2.0;
    std::uint64_t seed_ = 1; // of the spread of Retry-After
  };

  explicit Admission(Options aOptions);

  /// Sets the rate of the whole queue assumed before anything is learnt.
  void SetPriorRate(double aRate) { prior_ = aRate; }

  /// Gives the drain of a team, to be told of its work.
  DrainRate& DrainOf(const std::string& aTeam, TimePoint aNow);

  /// Predicts how long a team's work takes to drain.
  /// @param aTeam the team
  /// @param aWork its waiting work, in engine time
  /// @param aShare the team's share of the queue by weight
  std::chrono::microseconds WaitFor(const std::string& aTeam,
                                    std::chrono::microseconds aWork,
                                    double aShare) const;

  /// Notes what a request met at its engine beyond its own prefill.
  void OnEngineWait(std::chrono::microseconds aWait);

  /// Gives the usual wait at the engine.
  std::chrono::microseconds EngineWait() const;

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
  Options options_;
  std::minstd_rand random_;
  double prior_ = 1; // engine seconds a second
  double engineWaitUs_ = 0;
  std::unordered_map<std::string, DrainRate> drains_;
  std::size_t sweepAt_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ADMISSION_H_
