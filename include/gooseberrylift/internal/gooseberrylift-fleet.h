// This host's view of the endpoints of all services and of the requests that
// it and its peers have in flight there.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FLEET_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FLEET_H_

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-endpoint-access.h"
#include "gooseberrylift/internal/gooseberrylift-service-loads.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"
#include "gooseberrylift/membership/gooseberrylift-load-message-filter.h"
#include "gooseberrylift/membership/gooseberrylift-load-message.h"
#include "gooseberrylift/routing/gooseberrylift-allowed-regions.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"
#include "gooseberrylift/routing/gooseberrylift-peer-visibility.h"
#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

// Describes a request that needs an endpoint.
struct FleetQuery
{
  std::uint64_t id_ = 0; // unique on this host
  std::string service_;
  std::optional<EngineProfile> engineProfile_; // empty for a plain service
  ServiceGaps gaps_;
  PlacementRequest request_;
  std::set<std::string> tried_; // endpoints that failed this request
  // Endpoints and helpers that may be chosen; nothing if all may.
  std::optional<std::set<std::string>> only_{};
  // Whether an endpoint that leaves this host's requests without response is
  // avoided at once.
  bool mustRespond_ = false;
  AllowedZones allowedZones_;
  std::uint64_t draw_ = 0;        // random, for shuffling and tie-breaking
  std::uint64_t requestDraw_ = 0; // random, the same for each placement of it
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
  // Chosen as a last resort: it failed or avoids the request, or is silent.
  bool lastResort_ = false;
  EndpointLoad load_;           // of the endpoint, without this request
  std::size_t freeEngines_ = 0; // that could start a long prompt now
  std::size_t candidates_ = 0;
  std::size_t withheld_ = 0;  // endpoints skipped because no permit is left
  std::size_t backedOff_ = 0; // endpoints skipped because of a backoff
  std::size_t pressed_ = 0;   // candidates under pressure
  int pressure_ = 0; // load counted at the endpoint besides its requests
  RequestCost cost_;
  RequestCost helperCost_;
};

// Places requests on endpoints by what EndpointAccess and ServiceLoads know.
// Thread-safe.
class Fleet
{
public:
  struct Options
  {
    std::string host_;
    std::string zone_;
    EndpointRateLimiter& limiter_;
    // Called with each new or changed entry of an endpoint.
    std::function<void(const ListedEndpoint& aEndpoint)> onListed_{};
    // Called when the entry of an endpoint was removed.
    std::function<void(const std::string& aEndpoint)> onUnlisted_{};
  };

  explicit Fleet(Options aOptions);

  /// Returns which endpoints exist and may receive requests.
  EndpointAccess& Access() { return access_; }

  /// Returns the load of the endpoints.
  ServiceLoads& Loads() { return loads_; }

  /// Chooses an endpoint without sending anything or changing its load.
  /// @return nothing when no endpoint can take the request
  std::optional<FleetPlacement> Place(FleetQuery aQuery);

  /// Returns whether a stalled attempt at an endpoint of a service may be
  /// replaced now; see ReplacementPacer.
  bool TryReplace(const std::string& aService);

  /// Applies a new or changed endpoint entry to the directory.
  void OnListed(const ListedEndpoint& aListed);

  /// Handles the removal of an endpoint's entry.
  void OnUnlisted(const std::string& aEndpoint);

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
  /// @return the name of its source; nothing if the message was not applied
  std::optional<std::string> OnLoadMessage(const LoadMessage& aMessage);

  /// Records that other hosts are reachable. This counts like a load message,
  /// since a host without requests in flight sends none.
  void OnPeerContact();

  /// Sets the number of other hosts.
  void OnPeersKnown(std::size_t aPeers);

  /// Removes ended backoffs and expired outlier records; to be called
  /// periodically.
  void Sweep();

private:
  bool IsPeerLoadUnknown();
  std::vector<PlacementCandidate> FindCandidates(
    const FleetQuery& aQuery,
    const std::vector<ListedEndpoint>& aEndpoints,
    const CandidateRestrictions& aRestrictions,
    const ServiceLoad& aState,
    TimePoint aNow) const;

  Options options_;
  EndpointAccess access_;
  ServiceLoads loads_;
  std::mutex peersMutex_; // guards the members below
  PeerVisibility peerVisibility_;
  LoadMessageFilter messageFilter_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FLEET_H_
