// Shares out the rate that an endpoint takes from all hosts together. The load
// it answers: many hosts before an endpoint that takes a request or two a
// second. Were each host to send its even part, most of the rate would lie with
// hosts that have no request for it, and hosts that count each other
// differently would exceed it.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_GRANTER_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_GRANTER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// What a host that asks for permits gets.
struct RateVerdict
{
  int permits_ = 0;                        // requests that it may send
  std::chrono::milliseconds retryIn_{ 0 }; // when it has none: asks again
};

// One host of the fleet, chosen alike by all, grants the permits of an
// endpoint, so their sum needs no agreement. Permits are paced and do not add
// up while nobody asks. Not thread-safe.
class RateGranter
{
public:
  struct Options
  {
    // Between the first question for an endpoint and its first permit. What
    // was sent before the limit was known, and what another host has granted,
    // still counts at the endpoint.
    std::chrono::milliseconds settle_{ 2'000 };
    // An endpoint that takes less, or nothing, still gets this rate: only the
    // answer to a request tells that its limit has ended.
    double leastPerSecond_ = 0.25;
    double mostPerSecond_ = 1e6; // beyond it counts are out of range
    // Permits for so long are granted at once, at least one, so that fast
    // endpoints do not cost a question a request.
    std::chrono::milliseconds cover_{ 100 };
    // A host without a permit comes back within these bounds.
    std::chrono::milliseconds soonest_{ 20 };
    std::chrono::milliseconds latest_{ 10'000 };
    // What was granted at an endpoint is forgotten when nobody asked for it
    // for so long.
    std::chrono::milliseconds keep_{ 60'000 };
    // Where in its interval, from 0 to 1, a host that grants for itself alone
    // begins; unlike that of the others.
    double phase_ = 0;
  };

  explicit RateGranter(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Answers a host that has a request for an endpoint.
  /// @param aPerSecond the endpoint's limit
  /// @param aGranters how many hosts grant for this endpoint, each its even
  /// part; more than one while this host hears none of the others
  RateVerdict Ask(const Incarnation& aEndpoint,
                  double aPerSecond,
                  std::size_t aGranters,
                  TimePoint aNow);

  /// Forgets an endpoint: its limit has ended, or another host grants now.
  void Forget(const Incarnation& aEndpoint) { granted_.erase(aEndpoint); }

  /// Drops what has become old; called now and then.
  void Sweep(TimePoint aNow);

private:
  struct Granted
  {
    TimePoint next_;     // the next permit, not before
    TimePoint reserved_; // up to which hosts were told to come back
    TimePoint asked_;
  };

  Options options_;
  std::map<Incarnation, Granted> granted_;
};

/// Chooses the host that grants the permits of an endpoint: the first of those
/// given by a hash of its name and the endpoint's, so that hosts which know the
/// same ones choose alike, and the loss of one moves no other's endpoints.
/// @return empty when none is given
std::string GranterOf(const Incarnation& aEndpoint,
                      const std::vector<std::string>& aHosts);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RATE_GRANTER_H_
