// Distributes an endpoint's rate limit over the hosts as permits, on demand. An
// even split doesn't work for an endpoint that accepts a request or two per
// second: most of the rate would go to hosts that have no request for it, and
// hosts that disagree about the number of hosts would exceed the limit.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_GRANTER_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_GRANTER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// The response to a host that requests permits.
struct RateGrant
{
  int permits_ = 0;                           // one request each
  std::chrono::milliseconds retryAfter_{ 0 }; // if there are no permits
  // From the permit request on; the default of RatePermits if empty.
  std::optional<std::chrono::milliseconds> lifetime_{};
};

// A rate with a known beginning, of which this host grants its own part.
struct GrantTerms
{
  double perSecond_ = 0; // this host's part; 0 grants nothing
  TimePoint notBefore_;  // of the first permit
};

// Grants the permits of the endpoints that this host was chosen for. All hosts
// choose the same granting host for an endpoint, so the total needs no
// agreement between them. Permits are paced, and unused ones don't accumulate.
// Not thread-safe.
class RateGranter
{
public:
  struct Options
  {
    // Delay between the first permit request for an endpoint and its first
    // permit. Requests sent before the limit was known, or with permits of
    // another granting host, still count at the endpoint.
    std::chrono::milliseconds settleTime_{ 2'000 };
    // Lower limits, including zero, are raised to this rate: only the response
    // to a request tells that a limit was lifted.
    double minPerSecond_ = 0.25;
    double maxPerSecond_ = 1e6; // avoids integer overflow of permit counts
    // The permits of this period, at least one, are granted together, so that
    // fast endpoints don't need a permit request for each request.
    std::chrono::milliseconds batchInterval_{ 100 };
    // Bounds of the retry delay of a host that gets no permit.
    std::chrono::milliseconds minRetry_{ 20 };
    std::chrono::milliseconds maxRetry_{ 10'000 };
    // The state of an endpoint is removed when no host has requested permits
    // for this long.
    std::chrono::milliseconds retention_{ 60'000 };
    // Offset, from 0 to 1 of the permit interval, at which a host that grants
    // only for itself starts. Hosts use different offsets, so that
    // their permits don't coincide.
    double phase_ = 0;
  };

  explicit RateGranter(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Grants permits to a host that has a request for an endpoint.
  /// @param aPerSecond the endpoint's limit
  /// @param aGranters the number of hosts that grant permits for this endpoint,
  /// each an even share of the limit; more than one while this host is
  /// disconnected from all others
  RateGrant RequestPermits(const Incarnation& aEndpoint,
                           double aPerSecond,
                           std::size_t aGranters,
                           TimePoint aNow);

  /// Grants permits at a rate with a known beginning instead of after
  /// settleTime_. The rate is not raised to minPerSecond_, and a late permit
  /// request isn't made up for.
  RateGrant RequestPermits(const Incarnation& aEndpoint,
                           const GrantTerms& aTerms,
                           TimePoint aNow);

  /// Removes an endpoint whose limit was lifted, or for which another host now
  /// grants permits.
  void Forget(const Incarnation& aEndpoint) { grants_.erase(aEndpoint); }

  /// Removes endpoints that no host requests permits for; called periodically.
  void Sweep(TimePoint aNow);

private:
  struct GrantState
  {
    TimePoint nextPermit_; // earliest time of the next permit
    TimePoint nextRetry_;  // retry time for the next host
    TimePoint lastRequested_;
  };

  // How RequestPermits() paces the permits of one endpoint.
  struct Pace
  {
    double perSecond_;
    TimePoint first_;       // of the first permit, without the phase
    bool hasOtherGranters_; // other hosts grant beside this one
  };

  RateGrant Grant(const Incarnation& aEndpoint,
                  const Pace& aPace,
                  TimePoint aNow);

  Options options_;
  std::map<Incarnation, GrantState> grants_;
};

/// Chooses the host that grants the permits of an endpoint by rendezvous
/// hashing: hosts that know the same host names make the same choice, and the
/// loss of a host moves only the endpoints that it was chosen for.
/// @return the host's name; empty if aHosts is empty
std::string ChooseGranter(const Incarnation& aEndpoint,
                          const std::vector<std::string>& aHosts);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_GRANTER_H_
