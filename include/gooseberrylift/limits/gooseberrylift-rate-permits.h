// Tracks the permits that this host holds for endpoints with a rate limit, and
// decides when to request more. A request never waits for a permit while
// another endpoint has capacity, also when many arrive at a host that holds
// none.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_PERMITS_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_PERMITS_H_

#include <chrono>
#include <map>
#include <optional>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/limits/gooseberrylift-rate-granter.h"

namespace gooseberrylift {

// Not thread-safe.
class RatePermits
{
public:
  struct Options
  {
    // Permits expire this long after they were requested. Otherwise many hosts
    // could save permits and use them all at the same moment.
    std::chrono::milliseconds lifetime_{ 1'000 };
    // Delay before the next permit request after one without a response.
    std::chrono::milliseconds failureRetry_{ 500 };
  };

  explicit RatePermits(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Returns whether this host holds a valid permit for an endpoint.
  bool Has(const Incarnation& aEndpoint, TimePoint aNow) const;

  /// Consumes a permit.
  /// @return false if there is none
  bool Take(const Incarnation& aEndpoint, TimePoint aNow);

  /// Marks a permit request as pending, if this host should send one now.
  /// @return whether to send it
  bool TryBeginRequest(const Incarnation& aEndpoint, TimePoint aNow);

  /// Processes the response to the pending permit request.
  void OnGrant(const Incarnation& aEndpoint,
               const RateGrant& aGrant,
               TimePoint aNow);

  /// Records that the pending permit request got no response.
  void OnRequestFailed(const Incarnation& aEndpoint, TimePoint aNow);

  /// Returns the time until the next permit request; zero or less if it is due
  /// or pending.
  std::chrono::milliseconds TimeUntilPermit(const Incarnation& aEndpoint,
                                            TimePoint aNow) const;

  /// Removes an endpoint whose limit was lifted.
  void Forget(const Incarnation& aEndpoint) { states_.erase(aEndpoint); }

private:
  struct PermitState
  {
    int permits_ = 0;
    TimePoint expires_{};
    bool pending_ = false;
    TimePoint lastRequested_{};
    TimePoint nextRequest_{}; // earliest time
  };

  Options options_;
  std::map<Incarnation, PermitState> states_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_PERMITS_H_
