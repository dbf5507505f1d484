// This host's view of the endpoints of all services and of the requests that
// it and its peers have in flight there.

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
#include "gooseberrylift/limits/gooseberrylift-endpoint-backoffs.h"
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

// Why this host must not send a request to an endpoint now.
enum class SendBlock
{
  kNone,
  kUnusable, // leaving, replaced, unlisted or in an evacuated zone
  kBackoff,  // asked this host to back off
  kNoPermit, // has a rate limit, and this host has no permit
};

// Why no endpoint of a service may receive requests, and how long until that
// may change; zero or less while a permit is being requested.
struct ServiceBlock
{
  SendBlock reason_ = SendBlock::kNone;
  std::chrono::milliseconds remaining_{ 0 };
};

// The response that a notice of an endpoint came in.
struct NoticeSource
{
  bool signed_ = false; // has the endpoint's response stamp
  TimePoint sentAt_{};  // when the request was sent
};

// What an endpoint's notice has changed.
struct NoticeEffect
{
  bool leaving_ = false; // the endpoint was not known to be leaving
  bool backoff_ = false; // its backoff began or became longer
};

// Describes a request that needs an endpoint.
struct FleetQuery
{
  std::uint64_t id_ = 0; // unique on this host
  std::string service_;
  std::optional<EngineProfile> engineProfile_; // empty for a plain service
  ServiceGaps gaps_;
  PlacementRequest request_;
  std::set<std::string> tried_; // endpoints that failed this request
  std::uint64_t draw_ = 0;      // random, for shuffling and tie-breaking
};

// The endpoint and helpers chosen for a request, with the predictions on which
// the choice was based.
struct FleetPlacement
{
  ListedEndpoint endpoint_;
  std::vector<ListedEndpoint> helpers_;
  std::uint64_t reservedTokens_ = 0;           // at each helper
  std::chrono::microseconds firstAnswer_{ 0 }; // predicted
  // The part of firstAnswer_ before prefill starts.
  std::chrono::microseconds wait_{ 0 };
  bool slowsDecoding_ = false; // its prefill delays requests that are decoding
  // Predicted to miss its objective; yields to requests that can still meet
  // theirs.
  bool deferred_ = false;
  bool peerLoadUnknown_ = false; // no load messages from other hosts
  EndpointLoad load_;            // of the endpoint, without this request
  std::size_t candidates_ = 0;
  std::size_t withheld_ = 0;  // endpoints skipped because no permit is left
  std::size_t backedOff_ = 0; // endpoints skipped because of a backoff
  RequestCost cost_;
  RequestCost helperCost_;
};

// Holds the endpoint directory and the load of each endpoint, and places
// requests. Thread-safe: the directory has a mutex, and each service has one
// for its load and outlier detection.
class Fleet
{
public:
  struct Options
  {
    std::string host_;
    std::string zone_;
    EndpointRateLimiter& limiter_;
    // Called when an endpoint has restarted under the same id.
    std::function<void(const std::string& aEndpoint)> onRestarted_{};
  };

  explicit Fleet(Options aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Calls a function with the directory while holding its mutex.
  template<typename Change>
  void WithDirectory(const Change& aChange)
  {
    const std::lock_guard lock(directoryMutex_);
    aChange(directory_);
  }

  /// Chooses an endpoint without sending anything or changing its load.
  /// @return nothing when no endpoint can take the request
  std::optional<FleetPlacement> Place(FleetQuery aQuery);

  /// Consumes a permit if the placement's endpoint has a rate limit.
  /// @return false when no permit is left; the request must be placed again
  bool TryUsePermit(const FleetPlacement& aPlacement);

  /// Returns why no endpoint of a service may receive requests now.
  /// @return nothing when one may, or when the service has no endpoint
  std::optional<ServiceBlock> FindServiceBlock(const std::string& aService);

  /// Returns whether and why a request must not be sent to an endpoint that it
  /// was placed at, which may have changed since. Permits are not checked,
  /// because TryUsePermit has consumed one.
  SendBlock CheckSend(const ListedEndpoint& aEndpoint);

  /// Processes what an endpoint states about itself in a response.
  NoticeEffect OnNotice(const ListedEndpoint& aEndpoint,
                        const EndpointNotice& aNotice,
                        const NoticeSource& aSource);

  /// Records that an endpoint's address answered as another incarnation.
  void OnReplaced(const ListedEndpoint& aEndpoint);

  /// Applies a new or changed endpoint entry to the directory.
  void OnListed(const ListedEndpoint& aListed);

  /// Returns whether a service has a usable endpoint that was not tried yet.
  bool HasUntriedEndpoint(const std::string& aService,
                          const std::set<std::string>& aTried);

  /// Returns whether this incarnation of an endpoint is in the directory.
  bool IsListed(const Incarnation& aEndpoint);

  /// Returns the number of endpoints of a service that may receive requests.
  std::size_t CountUsable(const std::string& aService);

  // Counts a request in the load of its endpoint and helpers until End is
  // called or the object is destroyed.
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

    TimePoint SentAt() const { return sentAt_; }

    /// Records that the endpoint sent data for this request.
    /// @param aFirst whether the data began the answer
    void OnDataReceived(bool aFirst);

    /// Returns how recently the endpoint was active and how busy it is; used to
    /// detect a stall.
    EndpointActivity CurrentActivity() const;

    /// Records the outcome and removes the request from the load.
    void End(EndpointOutcome aOutcome);

  private:
    void Release();

    Fleet& fleet_;
    std::uint64_t id_;
    std::string service_;
    FleetPlacement placement_;
    TimePoint sentAt_;
    TimePoint lastDataAt_; // equals sentAt_ until data arrives
    bool begun_ = false;
    bool ended_ = false;
  };

  /// Applies a message about the load of a peer or of a whole zone.
  void OnLoadMessage(const LoadMessage& aMessage);

  /// Returns the load of this host and of the given hosts, summed by endpoint.
  std::vector<EndpointShare> SumSharesOf(const std::set<std::string>& aHosts);

  /// Records that other hosts are reachable. This counts like a load message,
  /// since a host without requests in flight sends none.
  void OnPeerContact();

  /// Sets the number of other hosts.
  void OnPeersKnown(std::size_t aPeers);

  /// Returns the load of this host's own requests, to be sent to its peers.
  std::vector<EndpointShare> OwnShares();

  /// Returns the load of this host's own requests at the given endpoints.
  std::vector<EndpointShare> OwnSharesAt(
    const std::vector<ListedEndpoint>& aEndpoints);

  /// Removes ended backoffs and expired outlier records; to be called
  /// periodically.
  void Sweep();

private:
  struct Shard;
  using SharesByService = std::map<std::string, std::vector<EndpointShare>>;

  void ResetRestartedEndpoint(const ListedEndpoint& aRestarted);
  Shard& ShardOf(const std::string& aService);
  SharesByService GroupByService(const std::vector<EndpointShare>& aShares);
  void EnsureShards(const SharesByService& aShares);
  bool IsPeerLoadUnknown();
  std::set<std::string> FindBackedOff(
    const std::vector<ListedEndpoint>& aEndpoints);
  using Endpoints = std::shared_ptr<const std::vector<ListedEndpoint>>;

  // Caches the usable endpoints of a service in this host's order.
  struct EndpointOrder
  {
    std::uint64_t directoryChanges_ = 0; // directory_.Changes() when sorted
    Endpoints endpoints_;
  };

  // The caller holds directoryMutex_.
  std::vector<ListedEndpoint> Usable(const std::string& aService) const;
  // Locks directoryMutex_ itself.
  Endpoints OrderedEndpoints(const FleetQuery& aQuery);

  Options options_;
  std::mutex peersMutex_; // guards the members up to directoryMutex_
  PeerVisibility peerVisibility_;
  // The sequence numbers of the load messages last accepted from a sender.
  struct LastPeerMessages
  {
    std::uint64_t latestSequence_ = 0;   // of the latest message
    std::uint64_t snapshotSequence_ = 0; // of the latest snapshot
  };
  std::map<std::string, LastPeerMessages> lastPeerMessages_; // by zone and host
  ZoneMessageFilter zoneMessageFilter_{ ZoneMessageFilter::Options{} };
  std::mutex directoryMutex_;
  std::map<std::string, EndpointOrder> endpointOrders_; // by service
  EndpointDirectory directory_;
  EndpointBackoffs backoffs_;
  std::mutex shardsMutex_; // guards the map; each shard has its own lock
  std::map<std::string, std::unique_ptr<Shard>> shards_; // by service
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FLEET_H_
