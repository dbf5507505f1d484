// Backoffs that endpoints ask this host for when they reject a request. An
// endpoint that sheds load finishes its requests at once and looks idle, so
// that load balancing alone would send it more and more of them.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_BACKOFFS_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_BACKOFFS_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// A backoff applies to one incarnation, and only to the host that was asked for
// it. Only its time ends it: a success or a shorter backoff in a later response
// does not withdraw what the endpoint asked for before. Not thread-safe.
class EndpointBackoffs
{
public:
  /// Records that an endpoint asked for a backoff.
  /// @param aDuration the requested time, counted from aNow
  /// @return whether the endpoint's backoff began or became longer
  bool OnRequested(const Incarnation& aEndpoint,
                   std::chrono::milliseconds aDuration,
                   TimePoint aNow);

  /// Returns whether no endpoint has a backoff.
  bool IsEmpty() const { return ends_.empty(); }

  /// Returns the remaining time of an endpoint's backoff, rounded up; nothing
  /// if it has none.
  std::optional<std::chrono::milliseconds> Remaining(
    const Incarnation& aEndpoint,
    TimePoint aNow) const;

  /// Removes backoffs that have ended; called periodically.
  /// @return their endpoints
  std::vector<Incarnation> Sweep(TimePoint aNow);

private:
  std::map<Incarnation, TimePoint> ends_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_BACKOFFS_H_
