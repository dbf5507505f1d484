// Keeps this host within the rate limits that endpoints name for all hosts
// together.

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

// Which of some endpoints have a limit, by id.
struct LimitedEndpoints
{
  std::set<std::string> withheld_;  // no permit at hand
  std::set<std::string> permitted_; // for at least one request
};

// Each request to a limited endpoint needs a permit, which a host gets from the
// granting host of that endpoint (RateGranter). A request that finds none goes
// elsewhere at once; the question is asked for the next one. A host that hears
// none of the others grants itself its even part of the rate. Safe from any
// thread.
class EndpointRateLimiter
{
public:
  // Calls a method of a peer.
  using Call = std::function<boost::asio::awaitable<Outcome<nlohmann::json>>(
    PeerMember aPeer,
    nlohmann::json aParams,
    TimePoint aDeadline)>;

  struct Parts
  {
    boost::asio::any_io_executor executor_;
    Metrics& metrics_;
    // Says whether an incarnation is in the list of endpoints.
    EndpointRateLimits::IsListed isListed_;
    // The other hosts are to know at once which endpoints have limits.
    std::function<void()> notifyPeers_;
    // Answered there by Answer().
    Call call_;
  };

  struct Options
  {
    std::string host_;
    std::string zone_;
    // A host answers within some ms; one that does not is gone or stands still.
    std::chrono::milliseconds askTimeout_{ 300 };
  };

  EndpointRateLimiter(Parts aParts, Options aOptions);

  /// Takes in what an endpoint's answer says of its limit.
  /// @param aSent when the request was sent that it answers
  void OnAnswer(const Incarnation& aEndpoint,
                const AdvertisedRateLimit& aNotice,
                TimePoint aSent);

  /// Takes in what a peer knows.
  void OnPeer(const std::vector<EndpointRate>& aEntries);

  /// Sets the other live hosts, as they change.
  /// @param aKnown how many other hosts there are
  /// @param aLeaves whether this host is about to stop
  void SetPeers(const std::vector<Digest>& aLive,
                std::size_t aKnown,
                bool aLeaves);

  /// Gives what is known, for the peers.
  std::vector<EndpointRate> Entries();

  /// Gives the limit in force at an endpoint, in requests a second.
  /// @return nothing when it has none
  std::optional<double> Of(const Incarnation& aEndpoint);

  /// Finds the limited ones among a request's candidates, and asks for permits
  /// where there is none.
  LimitedEndpoints CheckPermits(const std::vector<ListedEndpoint>& aCandidates);

  /// Uses a permit for a request to an endpoint.
  /// @return false when it needs one and there is none
  bool Take(const Incarnation& aEndpoint);

  /// Gives when one of some limited endpoints may be open to a request; zero
  /// or less while the granting host is being asked.
  std::chrono::milliseconds TimeUntilPermit(
    const std::vector<ListedEndpoint>& aEndpoints);

  /// Answers a peer that asks for permits.
  nlohmann::json Answer(const nlohmann::json& aParams);

  /// Drops what has become old; called now and then.
  void Sweep();

private:
  // Whom to ask for permits; host_ is empty when nobody can be asked.
  using Granter = PeerMember;

  boost::asio::awaitable<void> RequestPermits(EndpointRate aRate);
  boost::asio::awaitable<Outcome<nlohmann::json>> AskPeers(EndpointRate aRate,
                                                           Granter aGranter);
  void TakeIn(const Incarnation& aEndpoint, const nlohmann::json& aAnswer);
  RateGrant Grant(const EndpointRate& aRate);
  Granter GranterFor(const Incarnation& aEndpoint);
  void OnChanged(const EndpointRate& aRate, const char* aSource);

  Parts parts_;
  Options options_;
  std::mutex mutex_; // guards what follows
  EndpointRateLimits rates_{ EndpointRateLimits::Options{} };
  RateGranter granter_;
  RatePermits permits_{ RatePermits::Options{} };
  // Live hosts that are not about to stop, by zone; one nameless zone in a
  // small fleet. This host is among those of its own zone.
  std::map<std::string, std::vector<PeerMember>> hosts_;
  std::string scope_;        // this host's key in hosts_
  std::size_t granters_ = 1; // hosts that grant for the same endpoint
  std::minstd_rand random_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_RATE_LIMITER_H_
