// Outlier ejection and slow start for endpoints: handles an engine that becomes
// slow, one that accepts requests and never answers, and one that restarts
// empty. Without it a slow engine keeps its full share, so its requests take
// several times as long as elsewhere, and a restarted one, which looks idle, is
// flooded.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_HEALTH_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_HEALTH_H_

#include <chrono>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Moving average over a pool of the ratio of observed to predicted time to
// first token. Endpoints are compared with it, so that load that slows the
// whole pool ejects none of them.
class PoolLatencyRatio
{
public:
  void OnRatio(double aRatio);
  double Average() const { return average_; }

private:
  double average_ = 1.0;
};

// Health of one endpoint. Not thread-safe.
class EndpointHealth
{
public:
  struct Options
  {
    // An endpoint is slow at three times the pool's average ratio over at least
    // five responses. Under load the ratio of a healthy engine varies by a
    // factor of two.
    double slowFactor_ = 3.0;
    int minResponses_ = 5;
    // Consecutive faults; a single one may be caused by the request itself.
    int faultsUntilEjected_ = 2;
    std::chrono::milliseconds firstEjection_{ 2000 };
    std::chrono::milliseconds longestEjection_{ 60'000 };
    // Time to ramp up to the full share. Ten seconds span about forty load
    // reports, so a relapse shows while the endpoint has little traffic.
    std::chrono::milliseconds slowStartDuration_{ 10'000 };
  };

  explicit EndpointHealth(Options aOptions);

  /// Records a first token.
  /// @param aRatio the ratio of observed to predicted time to first token
  void OnFirstToken(double aRatio,
                    const PoolLatencyRatio& aPoolRatio,
                    TimePoint aNow);

  /// Records an attempt that failed through the endpoint's fault.
  void OnFault(TimePoint aNow);

  /// Starts the ramp-up of an endpoint that restarted, answers again or
  /// comes back from an ejection.
  void BeginSlowStart(TimePoint aNow);

  /// Returns whether the endpoint should receive no requests at present.
  bool ShouldEject(TimePoint aNow) const { return aNow < ejectedUntil_; }

  /// Returns the share of normal traffic that it should receive, which rises
  /// from 0.1 to 1 during slow start.
  double TrafficShare(TimePoint aNow) const;

  /// Returns how much slower than predicted the endpoint is; at least 1.
  double SlowdownFactor() const;

private:
  void Eject(TimePoint aNow);

  Options options_;
  double ratio_ = 1.0;
  int responses_ = 0;
  int consecutiveFaults_ = 0;
  int consecutiveEjections_ = 0; // doubles the ejection time
  TimePoint ejectedUntil_{};
  TimePoint slowStartBegin_{};
  bool inSlowStart_ = false;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_HEALTH_H_
