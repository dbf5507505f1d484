// Finds how many calls an endpoint of a plain service bears at once. The load
// pattern it answers: a service that slows down under too many calls. Without
// it the fixed number of the configuration is either too low for a sound
// endpoint or lets a struggling one collapse with all its calls in time-outs.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONCURRENCY_LIMIT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONCURRENCY_LIMIT_H_

#include <chrono>

namespace gooseberrylift {

// Additive increase while calls take about their usual time, multiplicative
// decrease when they take far longer or fail. Not thread-safe.
class ConcurrencyLimit
{
public:
  struct Options
  {
    double first_ = 16;
    double least_ = 1;
    double most_ = 1024;
    // Twice the usual time means that a call waits as long as it runs, which
    // is where more calls stop adding throughput.
    double slowFactor_ = 2.0;
    double decrease_ = 0.9;
  };

  explicit ConcurrencyLimit(Options aOptions);

  /// Learns from a call that ended.
  /// @param aTook its time at the endpoint
  /// @param aFailed by the endpoint's fault
  /// @param aOutstanding how many calls ran beside it, itself included
  void OnFinished(std::chrono::microseconds aTook,
                  bool aFailed,
                  int aOutstanding);

  /// Gives the present limit.
  int Limit() const { return static_cast<int>(limit_); }

private:
  Options options_;
  double limit_;
  double usualUs_ = 0; // the time of a call without queueing
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONCURRENCY_LIMIT_H_
