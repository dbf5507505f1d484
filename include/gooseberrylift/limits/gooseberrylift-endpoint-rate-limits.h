// Rate limits that endpoints announce in their responses. A limit applies to
// all hosts together, but an overloaded endpoint announces it only to the host
// that it responds to. A host that relied on its own responses would learn a
// limit late, and would never learn that it was lifted while it sends nothing
// there.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_RATE_LIMITS_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_RATE_LIMITS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Keeps one entry for each incarnation that has ever announced a limit. A limit
// applies until a response comes without one, however long that takes: lifting
// it too early would overload the endpoint again. Not thread-safe.
class EndpointRateLimits
{
public:
  struct Options
  {
    // An entry is removed after its endpoint was unlisted for this long.
    // Endpoints are unlisted for some seconds while the store is unavailable.
    std::chrono::milliseconds retention_{ 60'000 };
    // A rate within this fraction of the current one doesn't count as a change:
    // each change is sent to other hosts immediately, and an endpoint may
    // announce a different rate in each response.
    double changeTolerance_ = 0.1;
  };

  using IsListed = std::function<bool(const Incarnation& aEndpoint)>;

  explicit EndpointRateLimits(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Processes the notice in a response.
  /// @param aSent when the request was sent. If that was before the limit was
  /// last reported, the response may predate the limit and doesn't lift it.
  /// @return the entry, if it changed
  std::optional<EndpointRate> OnAnswer(const Incarnation& aEndpoint,
                                       const AdvertisedRateLimit& aNotice,
                                       TimePoint aSent,
                                       TimePoint aNow);

  /// Merges a peer's entries for endpoints that are listed here. Hosts would
  /// pass entries of unlisted endpoints on to each other forever.
  /// @return the entries that changed
  std::vector<EndpointRate> OnPeer(const std::vector<EndpointRate>& aEntries,
                                   const IsListed& aIsListed,
                                   TimePoint aNow);

  /// Returns the entry of an endpoint; nothing if it never announced a limit.
  std::optional<EndpointRate> Find(const Incarnation& aEndpoint) const;

  /// Returns whether any endpoint has a limit.
  bool HasLimits() const;

  /// Returns an endpoint's limit in requests per second; nothing if it has
  /// none.
  std::optional<double> Of(const Incarnation& aEndpoint) const;

  /// Returns all entries, which are sent to the peers.
  std::vector<EndpointRate> Entries() const;

  /// Removes endpoints that have been unlisted for too long; called
  /// periodically.
  /// @return the removed endpoints
  std::vector<Incarnation> Sweep(const IsListed& aIsListed, TimePoint aNow);

private:
  struct LimitState
  {
    std::uint64_t version_ = 0;
    std::optional<double> perSecond_;
    TimePoint lastReported_{}; // by a response or a peer
    TimePoint lastListed_{};   // when the endpoint was last listed
  };

  bool IsUnchanged(const std::optional<double>& aCurrent,
                   const std::optional<double>& aReported) const;

  Options options_;
  std::map<Incarnation, LimitState> limits_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_RATE_LIMITS_H_
