// Judges endpoints by how they serve. The load patterns it answers: an engine
// that turns slow, one that accepts and never answers, one that comes back
// empty. Without it the slow one gets its full share, each request to it waits
// several times as long as elsewhere, and one just returned is flooded.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_HEALTH_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_HEALTH_H_

#include <chrono>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// The pool's usual ratio of observed to predicted time to first token, which
// endpoints are compared with. Load slows all alike and so ejects none.
class PoolPace
{
public:
  void OnRatio(double aRatio);
  double Usual() const { return usual_; }

private:
  double usual_ = 1.0;
};

// The record of one endpoint. Not thread-safe.
class EndpointHealth
{
public:
  struct Options
  {
    // Three times the pool's pace over at least five answers: under load the
    // ratio of a sound engine varies by a factor of two.
    double slowFactor_ = 3.0;
    int leastAnswers_ = 5;
    // Two faults in a row: one may be the request's own doing.
    int faultsUntilEjected_ = 2;
    std::chrono::milliseconds firstEjection_{ 2000 };
    std::chrono::milliseconds longestEjection_{ 60'000 };
    // Ten seconds from one request at a time to a full share: some forty load
    // reports, so a relapse is seen while little depends on it.
    std::chrono::milliseconds slowStart_{ 10'000 };
  };

  explicit EndpointHealth(Options aOptions);

  /// Takes in a first token.
  /// @param aRatio the observed time over the predicted
  void OnFirstToken(double aRatio, const PoolPace& aPace, TimePoint aNow);

  /// Takes in an attempt that failed by the endpoint's fault.
  void OnFault(TimePoint aNow);

  /// Begins a slow start, because the endpoint is new or came back.
  void OnReturned(TimePoint aNow);

  /// Says whether the endpoint should get no work now.
  bool WantsEjection(TimePoint aNow) const { return aNow < ejectedUntil_; }

  /// Gives the share of work it may have, from 0.1 in the first moment after
  /// its return to 1.
  double Share(TimePoint aNow) const;

  /// Gives how much slower than predicted it is; at least 1.
  double Slowness() const;

private:
  void Eject(TimePoint aNow);

  Options options_;
  double ratio_ = 1.0;
  int answers_ = 0;
  int faults_ = 0;
  int ejections_ = 0; // in a row
  TimePoint ejectedUntil_{};
  TimePoint startedAt_{};
  bool starting_ = false;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_HEALTH_H_
