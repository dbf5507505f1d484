// Adaptive concurrency limit for an endpoint of a plain service that slows down
// under too many calls. The fixed limit of the configuration is either too low
// for a healthy endpoint or so high that an overloaded one times out on every
// call.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONCURRENCY_LIMIT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONCURRENCY_LIMIT_H_

#include <chrono>

namespace gooseberrylift {

// Raises the limit by 1/limit per call while latency is near its baseline,
// lowers it by a fixed step per slow call, and by a factor per failed call. Not
// thread-safe.
class ConcurrencyLimit
{
public:
  struct Options
  {
    double initial_ = 16;
    double min_ = 1;
    double max_ = 1024;
    // At twice the baseline latency a call waits as long as it runs; beyond
    // that point more concurrent calls do not add throughput.
    double slowFactor_ = 2.0;
    double decrease_ = 0.9;
  };

  explicit ConcurrencyLimit(Options aOptions);

  /// Updates the limit after a completed call.
  /// @param aDuration the latency at the endpoint
  /// @param aFailed whether it failed through the endpoint's fault
  /// @param aOutstanding the number of concurrent calls, including this one
  void OnFinished(std::chrono::microseconds aDuration,
                  bool aFailed,
                  int aOutstanding);

  /// Returns the current limit, rounded down.
  int Limit() const { return static_cast<int>(limit_); }

private:
  Options options_;
  double limit_;
  double baselineUs_ = 0; // latency of a call without queueing
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONCURRENCY_LIMIT_H_
