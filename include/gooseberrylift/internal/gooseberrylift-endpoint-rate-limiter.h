// Enforces the rate limits that endpoints advertise, which apply to the total
// of the requests from all hosts.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_RATE_LIMITER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_RATE_LIMITER_H_

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/limits/gooseberrylift-endpoint-rate-limits.h"
#include "gooseberrylift/limits/gooseberrylift-rate-granter.h"
#include "gooseberrylift/limits/gooseberrylift-rate-permits.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

namespace gooseberrylift {

// The ids of those of a request's candidates that have a rate limit.
struct LimitedEndpoints
{
  std::set<std::string> withheld_;  // this host has no permit
  std::set<std::string> permitted_; // it has at least one
};

// Each request to a rate-limited endpoint needs a permit, which a host requests
// from the granting host of that endpoint (RateGranter). If no permit is
// available, the request goes to another endpoint at once, while a permit is
// requested for later requests. A host that is disconnected from all others
// grants itself an even share of the rate. Thread-safe.
class EndpointRateLimiter
{
public:
  // Sends a permit request to a peer, which answers it with Answer().
  using Call = std::function<boost::asio::awaitable<Outcome<nlohmann::json>>(
    PeerMember aPeer,
    nlohmann::json aParams,
    TimePoint aDeadline)>;

  struct Parts
  {
    boost::asio::any_io_executor executor_;
    Metrics& metrics_;
    // Returns whether an incarnation is in the list of endpoints.
    EndpointRateLimits::IsListed isListed_;
    // Called when an endpoint's response has changed its limit, so that the
    // peers learn of it at once.
    std::function<void()> notifyPeers_;

    Call call_;
  };

  struct Options
  {
    std::string host_;
    std::string zone_;
    // For permit requests. A live peer responds within a few milliseconds; one
    // that doesn't has failed or is paused.
    std::chrono::milliseconds requestTimeout_{ 300 };
  };

  EndpointRateLimiter(Parts aParts, Options aOptions);

  /// Processes the rate limit notice in an endpoint's response.
  /// @param aSent when the corresponding request was sent
  void OnAnswer(const Incarnation& aEndpoint,
                const AdvertisedRateLimit& aNotice,
                TimePoint aSent);

  /// Merges the entries of a peer.
  void OnPeer(const std::vector<EndpointRate>& aEntries);

  /// Updates the live peers.
  /// @param aKnown the number of other hosts, live or not
  /// @param aStopping whether this host is about to stop
  void SetPeers(const std::vector<Digest>& aLive,
                std::size_t aKnown,
                bool aStopping);

  /// Returns all entries, which are sent to the peers.
  std::vector<EndpointRate> Entries();

  /// Returns an endpoint's limit in requests per second; nothing if it has
  /// none.
  std::optional<double> Of(const Incarnation& aEndpoint);

  /// Finds the rate-limited endpoints among a request's candidates, and
  /// requests permits for those that this host has none for.
  LimitedEndpoints CheckPermits(const std::vector<ListedEndpoint>& aCandidates);

  /// Consumes a permit if the endpoint needs one.
  /// @return false if it needs one and there is none
  bool Take(const Incarnation& aEndpoint);

  /// Returns the shortest time until a permit may be available for one of the
  /// given rate-limited endpoints; zero or less if a permit request is due or
  /// pending.
  std::chrono::milliseconds TimeUntilPermit(
    const std::vector<ListedEndpoint>& aEndpoints);

  /// Handles a peer's permit request and returns the response.
  nlohmann::json Answer(const nlohmann::json& aParams);

  /// Removes expired state; called periodically.
  void Sweep();

private:
  // The host to request permits from; host_ is empty if there is none.
  using Granter = PeerMember;

  boost::asio::awaitable<void> RequestPermits(EndpointRate aRate);
  boost::asio::awaitable<Outcome<nlohmann::json>> RequestFromGranter(
    EndpointRate aRate,
    Granter aGranter);
  void ApplyGrant(const Incarnation& aEndpoint, const nlohmann::json& aAnswer);
  RateGrant GrantPermits(const EndpointRate& aRate);
  Granter GranterFor(const Incarnation& aEndpoint);
  void OnChanged(const EndpointRate& aRate, const char* aSource);

  Parts parts_;
  Options options_;
  std::mutex mutex_; // guards the members below
  EndpointRateLimits rates_{ EndpointRateLimits::Options{} };
  RateGranter granter_;
  RatePermits permits_{ RatePermits::Options{} };
  // Live hosts that are not about to stop, by availability zone. In a small
  // fleet, all are under an empty zone name. Includes this host, unless it is
  // about to stop and has live peers.
  std::map<std::string, std::vector<PeerMember>> hosts_;
  std::string ownScope_; // this host's key in hosts_
  // Hosts that grant permits for the same endpoint.
  std::size_t granterCount_ = 1;
  std::minstd_rand random_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_RATE_LIMITER_H_
