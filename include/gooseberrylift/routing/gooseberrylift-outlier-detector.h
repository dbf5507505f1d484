// Passive outlier detection. Detects endpoints that are listed and accept
// connections but abort, hang or corrupt some of their requests. Such an
// endpoint ends its requests early and looks idle, so that load balancing would
// send it more than its share.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_OUTLIER_DETECTOR_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_OUTLIER_DETECTOR_H_

#include <chrono>
#include <map>
#include <string>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// How one request ended at an endpoint.
enum class EndpointOutcome
{
  kServed,
  kFailed,      // truncated or corrupt response, or status 5xx
  kUnreachable, // connection failed, or no data within the time-out
  kRefused,     // confirmed that it did not run the request
};

// Keeps an exponentially decayed failure share for each endpoint, and ejects an
// endpoint for a limited time when it is unreachable or fails far more often
// than the others. Not thread-safe.
class OutlierDetector
{
public:
  struct Options
  {
    // Ejection time of an unreachable endpoint, doubled with each consecutive
    // failure up to maxEjection_. Crashed endpoints restart within seconds, and
    // each request that is sent to a dead one loses a connect time-out.
    std::chrono::milliseconds initialEjection_{ 500 };
    std::chrono::milliseconds maxEjection_{ 4'000 };
    // An endpoint is ejected when its failure share exceeds failureThreshold_
    // and also fleetFailureFactor_ times that of all endpoints. With a decay of
    // 0.8, two consecutive failures among eight outcomes reach the threshold.
    double failureThreshold_ = 0.3;
    double fleetFailureFactor_ = 3.0;
    double decay_ = 0.8; // weight of the previous share at each outcome
    std::chrono::milliseconds failureEjection_{ 3'000 };
  };

  explicit OutlierDetector(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records the outcome of a request.
  void OnOutcome(const std::string& aEndpoint,
                 EndpointOutcome aOutcome,
                 TimePoint aNow);

  /// Returns whether an endpoint is ejected.
  bool IsEjected(const std::string& aEndpoint, TimePoint aNow) const;

  /// Returns when the latest ejection of an endpoint ends or has ended; the
  /// epoch if it was never ejected.
  TimePoint EjectedUntil(const std::string& aEndpoint) const;

  /// Returns the number of endpoints that were unreachable when last tried.
  std::size_t CountUnreachable() const;

  /// Discards the records of unreachable endpoints: this host's links to them
  /// were down.
  void OnLinksRestored();

  /// Discards the record of an endpoint that has restarted.
  void OnRestarted(const std::string& aEndpoint) { records_.erase(aEndpoint); }

  /// Discards the records of endpoints that had no request for a minute.
  void Sweep(TimePoint aNow);

private:
  struct Record
  {
    double failureShare_ = 0; // decayed share of failed requests
    int consecutiveUnreachable_ = 0;
    TimePoint ejectedUntil_{};
    TimePoint lastOutcome_{};
  };

  Options options_;
  std::map<std::string, Record> records_;
  double fleetFailureShare_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_OUTLIER_DETECTOR_H_
