// The endpoints of all services as this host knows them, and the requests that
// it and its peers have in work there.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FLEET_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-endpoint-rate-limiter.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"
#include "gooseberrylift/membership/gooseberrylift-load-message.h"
#include "gooseberrylift/membership/gooseberrylift-zone-load.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"
#include "gooseberrylift/routing/gooseberrylift-outlier-detector.h"
#include "gooseberrylift/routing/gooseberrylift-peer-visibility.h"
#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

// A request that wants an endpoint.
struct FleetQuery
{
  std::uint64_t id_ = 0; // this host's own number of it
  std::string service_;
  std::optional<EngineProfile> engineProfile_; // none for a plain service
  ServiceGaps gaps_;
  PlacementRequest request_;
  std::set<std::string> tried_; // endpoints that failed it
  std::uint64_t draw_ = 0;      // a random number
};

// Where it is to go.
struct FleetPlacement
{
  ListedEndpoint endpoint_;
  std::vector<ListedEndpoint> helpers_;
  std::uint64_t reservedTokens_ = 0;           // to be set aside at each helper
  std::chrono::microseconds firstAnswer_{ 0 }; // predicted
  std::chrono::microseconds wait_{ 0 };        // of that, before its read
  bool slowsDecoding_ = false;   // its read disturbs those that write beside it
  bool deferred_ = false;        // lets those go first that are not late
  bool peerLoadUnknown_ = false; // chosen without a word of other hosts
  EndpointLoad load_;            // at the endpoint, before it
  std::size_t candidates_ = 0;
  std::size_t withheld_ = 0; // endpoints passed over for want of a permit
  RequestCost cost_;
  RequestCost helperCost_;
};

// Safe from any thread: the directory has a lock, and so has each service's
// load and trust.
class Fleet
{
public:
  struct Options
  {
    std::string host_;
    std::string zone_;
    EndpointRateLimiter& limiter_;
    // Told of an endpoint that has started again under the id that it had.
    std::function<void(const std::string& aEndpoint)> onReborn_{};
  };

  explicit Fleet(Options aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Changes the directory, under its lock.
  template<typename Change>
  void WithDirectory(const Change& aChange)
  {
    const std::lock_guard lock(directoryMutex_);
    aChange(directory_);
  }

  /// Chooses an endpoint, without sending anything.
  /// @return nothing when no endpoint can take the request
  std::optional<FleetPlacement> Place(FleetQuery aQuery);

  /// Uses the permit that a placement needs, if it needs one.
  /// @return false when there is none any more: it is to be placed anew
  bool TryUsePermit(const FleetPlacement& aPlacement);

  /// Says when the service has a permit again; zero or less while one is being
  /// asked for.
  /// @return nothing when it has endpoints that need none, or no endpoint
  std::optional<std::chrono::milliseconds> TimeUntilPermit(
    const std::string& aService);

  /// Takes in one new or changed entry.
  void OnListed(const ListedEndpoint& aListed);

  /// Says whether a service has usable endpoints beside those tried.
  bool HasUntriedEndpoint(const std::string& aService,
                          const std::set<std::string>& aTried);

  /// Says whether an incarnation is in the list of endpoints.
  bool IsListed(const Incarnation& aEndpoint);

  /// Gives how many endpoints of a service may get requests.
  std::size_t CountUsable(const std::string& aService);

  // A request in work at its endpoint and helpers. It counts in their load
  // until it is ended or goes.
  class ActiveRequest
  {
  public:
    ActiveRequest(Fleet& aFleet,
                  const FleetQuery& aQuery,
                  FleetPlacement aPlacement);
    ~ActiveRequest();
    ActiveRequest(const ActiveRequest&) = delete;
    ActiveRequest& operator=(const ActiveRequest&) = delete;

    const FleetPlacement& Placement() const { return placement_; }

    TimePoint SentAt() const { return sent_; }

    /// Notes that the endpoint sent something.
    /// @param aFirst whether it was the first of its answer
    void OnDataReceived(bool aFirst);

    /// Gives what is known of the endpoint while its answer is waited for.
    EndpointActivity CurrentActivity() const;

    /// Ends the use and notes how it went.
    void End(EndpointOutcome aOutcome);

  private:
    void Release();

    Fleet& fleet_;
    std::uint64_t id_;
    std::string service_;
    FleetPlacement placement_;
    TimePoint sent_;
    TimePoint heard_; // of this request, or when it was sent
    bool begun_ = false;
    bool ended_ = false;
  };

  /// Takes in a peer's word of what it, or its zone, has in work.
  void OnLoadMessage(const LoadMessage& aWord);

  /// Sums by endpoint what this host and some others have in work.
  std::vector<EndpointShare> SumOf(const std::set<std::string>& aHosts);

  /// Notes that other hosts are in touch: what they have in work comes in words
  /// of their own, and a host that has none sends none.
  void OnPeersHeard();

  /// Notes how many other hosts there are.
  void OnPeersKnown(std::size_t aPeers);

  /// Gives what this host has in work, for its peers.
  std::vector<EndpointShare> OwnShares();

  /// Gives the same at some endpoints of one service.
  std::vector<EndpointShare> OwnSharesAt(
    const std::vector<ListedEndpoint>& aEndpoints);

  /// Drops what has become old; called now and then.
  void Sweep();

private:
  struct Shard;
  using SharesByService = std::map<std::string, std::vector<EndpointShare>>;

  void ForgetFormerLife(const ListedEndpoint& aReborn);
  Shard& ShardOf(const std::string& aService);
  SharesByService ByService(const std::vector<EndpointShare>& aShares);
  void MakeShards(const SharesByService& aShares);
  bool IsPeerLoadUnknown();
  using Endpoints = std::shared_ptr<const std::vector<ListedEndpoint>>;

  // The usable endpoints of a service in this host's order.
  struct Order
  {
    std::uint64_t changes_ = 0; // of the directory when it was made
    Endpoints endpoints_;
  };

  // With the directory locked.
  std::vector<ListedEndpoint> Usable(const std::string& aService) const;
  Endpoints Ordered(const FleetQuery& aQuery);

  Options options_;
  std::mutex peersMutex_; // guards what follows
  PeerVisibility view_;
  // What was last taken in of a peer.
  struct PeerWords
  {
    std::uint64_t word_ = 0;  // sequence
    std::uint64_t whole_ = 0; // sequence of the last whole word
  };
  std::map<std::string, PeerWords> peerWords_;
  ZoneMessageFilter zoneMessageFilter_{ ZoneMessageFilter::Options{} };
  std::mutex directoryMutex_;
  std::map<std::string, Order> orders_; // by service
  EndpointDirectory directory_;
  std::mutex shardsMutex_; // guards the map; each shard has its own lock
  std::map<std::string, std::unique_ptr<Shard>> shards_; // by service
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FLEET_H_
