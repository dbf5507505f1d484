// Enforces the rate limits that endpoints advertise and those of cold
// endpoints, which apply to the total of the requests from all hosts.

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
#include "gooseberrylift/limits/gooseberrylift-cold-endpoints.h"
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
  std::set<std::string> cold_;      // of permitted_, those that are cold
};

// Each request to a rate-limited endpoint needs a permit, which a host requests
// from the granting host of that endpoint (RateGranter). If no permit is
// available, the request goes to another endpoint at once, while a permit is
// requested for later requests. A host that is disconnected from all others
// grants itself an even share of the rate.
//
// Cold endpoints use the same permits, except that each availability zone
// grants its own part of the rate (ColdGrantRate), and that permits are
// requested for one endpoint at a time: a whole zone may be cold at once, and
// other endpoints are preferred anyway. Thread-safe.
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
    // Whether the fleet has other hosts. A host that doesn't know them yet
    // grants no permits for cold endpoints.
    bool hasPeers_ = false;
    // A host that has just started doesn't know what the granting host before
    // it has granted, and not yet which hosts are live.
    std::chrono::milliseconds startSettleTime_{ 2'000 };
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
  /// @param aMembers the known ones of them, live or not
  /// @param aStopping whether this host is about to stop
  void SetPeers(const std::vector<Digest>& aLive,
                std::size_t aKnown,
                const std::vector<PeerMember>& aMembers,
                bool aStopping);

  /// Sets the terms of the services whose endpoints may be cold.
  /// @param aZones the number of availability zones; 0 if not configured
  void SetColdTerms(std::map<std::string, ColdTerms> aTerms,
                    std::size_t aZones);

  /// Processes a new or changed endpoint entry.
  void OnListed(const ListedEndpoint& aListed);

  /// Returns all entries, which are sent to the peers.
  std::vector<EndpointRate> Entries();

  /// Returns an endpoint's limit, or what it tolerates while it is cold, in
  /// requests per second; nothing if it has none.
  std::optional<double> Of(const Incarnation& aEndpoint);

  /// Returns whether an endpoint is cold.
  bool IsCold(const Incarnation& aEndpoint);

  /// Returns the number of endpoints that are cold.
  std::size_t CountCold();

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

  // A request for permits. cold_ is set if the endpoint is cold: its stated
  // remaining time, or zero.
  struct PermitRequest
  {
    EndpointRate rate_;
    std::optional<std::chrono::milliseconds> cold_;
  };

  boost::asio::awaitable<void> RequestPermits(PermitRequest aRequest);
  boost::asio::awaitable<Outcome<nlohmann::json>> RequestFromGranter(
    PermitRequest aRequest,
    Granter aGranter);
  void ApplyGrant(const PermitRequest& aRequest, const nlohmann::json& aAnswer);
  PermitRequest MakeRequest(const Incarnation& aEndpoint, TimePoint aNow) const;
  RateGrant GrantPermits(const PermitRequest& aRequest);
  RateGrant GrantColdPermits(const PermitRequest& aRequest);
  Granter GranterFor(const PermitRequest& aRequest);
  Granter ChooseAmong(const Incarnation& aEndpoint,
                      const std::vector<PeerMember>& aMembers) const;
  bool NeedsPermit(const Incarnation& aEndpoint, TimePoint aNow) const;
  ColdShareView ShareView() const;
  void OnChanged(const EndpointRate& aRate, const char* aSource);
  void ReportColdChanges();

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
  ColdEndpoints cold_{ ColdEndpoints::Options{} };
  TimePoint startedAt_;
  // The live hosts of the own zone that are not about to stop, this one
  // included as in hosts_.
  std::vector<PeerMember> zoneHosts_;
  std::size_t liveInZone_ = 0;  // other live hosts of the own zone
  std::size_t knownInZone_ = 0; // other hosts of the own zone, live or not
  std::size_t knownHosts_ = 0;  // other hosts, live or not
  std::set<std::string> seenZones_;
  std::size_t configuredZones_ = 0;
  std::minstd_rand random_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_RATE_LIMITER_H_
