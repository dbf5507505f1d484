// Tells endpoints that serve from endpoints that fail. The load it answers:
// endpoints that are listed and accept connections but break off, hang or
// spoil a part of what they are given. Without it such an endpoint looks idle,
// because it ends its requests early, and so gets more than its share.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_TRUST_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_TRUST_H_

#include <chrono>
#include <map>
#include <string>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// How one request ended at an endpoint.
enum class EndpointOutcome
{
  kServed,
  kFailed,      // its answer broke off, was spoilt, or said 5xx
  kUnreachable, // no connection, or no sign of life for too long
  kRefused,     // it proved that it did not run the request
};

// Keeps a failing share for each endpoint, decayed by count, and sets an
// endpoint aside for a while when it can't be reached or fails far more often
// than its fellows. Not thread-safe.
class EndpointTrust
{
public:
  struct Options
  {
    // An endpoint that can't be reached is tried again after this, doubled with
    // each further failure. Crashed endpoints are back after some seconds, and
    // a request that finds one dead has lost a connect time-out.
    std::chrono::milliseconds firstRest_{ 500 };
    std::chrono::milliseconds longestRest_{ 4'000 };
    // A failing share over this, and over thrice that of all endpoints, sets
    // aside. With eight outcomes at weight 0.8 two failures in a row reach it.
    double failingShare_ = 0.3;
    double overOthers_ = 3.0;
    double memory_ = 0.8; // what an old outcome weighs after each new one
    std::chrono::milliseconds failingRest_{ 3'000 };
  };

  explicit EndpointTrust(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Takes in how a request ended.
  void OnOutcome(const std::string& aEndpoint,
                 EndpointOutcome aOutcome,
                 TimePoint aNow);

  /// Says whether an endpoint is set aside now.
  bool IsSetAside(const std::string& aEndpoint, TimePoint aNow) const;

  /// Forgets endpoints that were not heard of for a minute.
  /// Forgets how an endpoint fared, which has started again.
  void OnReborn(const std::string& aEndpoint) { records_.erase(aEndpoint); }

  void Sweep(TimePoint aNow);

private:
  struct Record
  {
    double failing_ = 0;  // share of the latest outcomes
    int unreachable_ = 0; // in a row
    TimePoint restUntil_{};
    TimePoint last_{};
  };

  Options options_;
  std::map<std::string, Record> records_;
  double failingOfAll_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_TRUST_H_
