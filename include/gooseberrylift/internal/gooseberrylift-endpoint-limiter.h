// Keeps this host within the rate limits that endpoints name for all hosts
// together.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_LIMITER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_LIMITER_H_

#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/limits/gooseberrylift-endpoint-rates.h"

namespace gooseberrylift {

// Safe from any thread.
class EndpointLimiter
{
public:
  struct Parts
  {
    Metrics& metrics_;
    // Says whether an incarnation is in the list of endpoints.
    EndpointRates::IsListed isListed_;
    // The other hosts are to know at once which endpoints have limits.
    std::function<void()> tell_;
  };

  explicit EndpointLimiter(Parts aParts);

  /// Takes in what an endpoint's answer says of its limit.
  /// @param aSent when the request was sent that it answers
  void OnAnswer(const Incarnation& aEndpoint,
                const RateNotice& aNotice,
                TimePoint aSent);

  /// Takes in what a peer knows.
  void OnPeer(const std::vector<EndpointRate>& aEntries);

  /// Gives what is known, for the peers.
  std::vector<EndpointRate> Entries();

  /// Gives the limit in force at an endpoint, in requests a second.
  /// @return nothing when it has none
  std::optional<double> Of(const Incarnation& aEndpoint);

  /// Counts a request, or a part of one, that goes to an endpoint.
  void OnSent(const Incarnation& aEndpoint);

  /// Drops what has become old; called now and then.
  void Sweep();

private:
  Parts parts_;
  std::mutex mutex_; // guards what follows
  EndpointRates rates_{ EndpointRates::Options{} };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_LIMITER_H_
