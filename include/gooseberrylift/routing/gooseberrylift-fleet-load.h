// Load of each endpoint, combined from this host's own requests and the load
// messages of its peers. Many hosts share the same endpoints: a host that
// counted only its own requests would take the endpoints that it does not use
// for idle, and all hosts would place the next long prompt on the same one.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_LOAD_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_LOAD_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-pace.h"

namespace gooseberrylift {

// Load that one request adds to an endpoint.
struct RequestCost
{
  std::uint64_t memoryTokens_ = 0;         // KV cache for prompt and answer
  std::chrono::microseconds prefill_{ 0 }; // prefill time
  bool tightGap_ = false; // has the service's shortest inter-event gap limit
  bool isHelper_ = false; // prefills and stores a part only; occupies no slot
  bool deferred_ = false; // yields to all other requests at its engine
};

// Load that one host has placed on one endpoint.
struct EndpointShare
{
  std::string id_;
  int running_ = 0;  // requests that occupy or wait for a slot
  int tightGap_ = 0; // of these, with the shortest gap limit
  std::uint64_t memoryTokens_ = 0;
  std::chrono::microseconds backlog_{ 0 }; // outstanding prefill
  int deferred_ = 0; // of running_, queued behind all others
  // Since the host last received data from it.
  std::chrono::milliseconds silent_{ 0 };
  // Observed duration of its work as a percentage of the predicted one; 0 if
  // the host has no recent observation.
  int pacePercent_ = 0;
  // Requests that it rejected recently without asking for a backoff.
  int rejections_ = 0;
  // Remaining time of the backoff that it asked the host for.
  std::chrono::milliseconds backoff_{ 0 };
};

// Load that all known hosts together have placed on one endpoint.
struct EndpointLoad
{
  int running_ = 0;
  int tightGap_ = 0;
  std::uint64_t memoryTokens_ = 0;
  std::chrono::microseconds backlog_{ 0 };
  int deferred_ = 0; // of running_, queued behind all others
  // Duration of its work relative to the predicted one, as most hosts observe
  // it; never below 1.
  double pace_ = 1;
};

// Tracks the load of all endpoints as far as this host knows it. Not
// thread-safe.
class FleetLoad
{
public:
  struct Options
  {
    // Time without a newer message after which the load of a peer is ignored:
    // the peer is down or disconnected, and most of its requests have ended.
    // Ten times the usual interval between messages.
    std::chrono::milliseconds peerTimeout_{ 2'000 };
    // Age of a message from which on the pace in it is ignored: twice the usual
    // interval between a host's messages.
    std::chrono::milliseconds maxPaceAge_{ 1'000 };
  };

  explicit FleetLoad(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records that a request was sent to an endpoint.
  void OnSent(const std::string& aEndpoint,
              std::uint64_t aRequest,
              const RequestCost& aCost,
              TimePoint aNow);

  /// Records that the first token of a request arrived: its prefill is
  /// complete.
  void OnStarted(const std::string& aEndpoint,
                 std::uint64_t aRequest,
                 TimePoint aNow);

  /// Records that a request ended at an endpoint or was withdrawn from it. Does
  /// not count as received data.
  void OnEnded(const std::string& aEndpoint, std::uint64_t aRequest);

  /// Discards the load of an endpoint that has restarted and lost its requests.
  void OnRestarted(const std::string& aEndpoint);

  /// Replaces the load of a peer by a snapshot.
  /// @param aAt time of the message, on this host's clock
  void OnPeerSnapshot(const std::string& aHost,
                      std::vector<EndpointShare> aShares,
                      TimePoint aAt);

  /// Adds a further part of the peer's latest snapshot.
  void OnPeerSnapshotContinued(const std::string& aHost,
                               std::vector<EndpointShare> aShares);

  /// Applies a delta: the endpoints whose load has changed.
  /// @param aAt time of the message, on this host's clock
  void OnPeerDelta(const std::string& aHost,
                   std::vector<EndpointShare> aShares,
                   TimePoint aAt);

  /// Returns the known load of an endpoint.
  EndpointLoad Of(const std::string& aEndpoint, TimePoint aNow) const;

  /// Returns this host's own load, for messages to its peers.
  std::vector<EndpointShare> OwnShares(TimePoint aNow) const;

  /// Sums the load of this host and of selected peers by endpoint.
  /// @param aIncludes returns whether a peer is part of the sum
  std::vector<EndpointShare> Sum(
    const std::function<bool(const std::string& aHost)>& aIncludes,
    TimePoint aNow) const;

  /// Returns this host's own load at one endpoint.
  EndpointShare OwnShare(const std::string& aEndpoint, TimePoint aNow) const;

  /// Returns for how long an endpoint has sent nothing while this host has
  /// requests there; zero if it has none.
  std::chrono::milliseconds SilentFor(const std::string& aEndpoint,
                                      TimePoint aNow) const;

  /// Returns whether an endpoint began to answer a request that this host sent
  /// later than the given one, and that had no precedence over it.
  bool IsOvertaken(const std::string& aEndpoint, std::uint64_t aRequest) const;

  /// Returns the shortest time without data from an endpoint that any peer with
  /// requests there reports; nothing if no peer has requests there.
  std::optional<std::chrono::milliseconds> ShortestPeerSilence(
    const std::string& aEndpoint,
    TimePoint aNow) const;

  /// Records that an endpoint sent data.
  void OnDataReceived(const std::string& aEndpoint, TimePoint aNow);

  /// Sets the predicted time from now to the first event of a request that was
  /// just sent. From then on, its events are compared with predictions.
  /// @param aHelpers endpoints that prefill parts of its prompt
  void ExpectFirst(const std::string& aEndpoint,
                   std::uint64_t aRequest,
                   const std::vector<std::string>& aHelpers,
                   const NominalTime& aFirst,
                   TimePoint aNow);

  /// Records events of a request that arrived together, after OnStarted.
  void OnEvents(const std::string& aEndpoint,
                std::uint64_t aRequest,
                std::size_t aEvents,
                const EngineProfile& aProfile,
                TimePoint aNow);

  /// Returns the endpoints that most hosts observe as slow, with their pace in
  /// percent.
  std::map<std::string, int> SlowEndpoints(TimePoint aNow) const;

  /// Removes expired observations; to be called periodically.
  void Sweep(TimePoint aNow) { pace_.Sweep(aNow); }

private:
  struct SentRequest
  {
    RequestCost cost_;
    TimePoint at_;
    bool started_ = false;
    // Of the time from expectedSince_ to its next event.
    NominalTime expected_{};
    TimePoint expectedSince_{};
    std::vector<std::string> prefilledBy_{}; // until the first event
  };
  struct LocalLoad
  {
    std::map<std::uint64_t, SentRequest> requests_;
    TimePoint lastHeard_{}; // last data received, or start of the wait
    // Send time of the latest request that was answered; index 1 is for
    // deferred requests, 0 for all others.
    std::array<TimePoint, 2> latestStarted_{};
  };
  struct Peer
  {
    TimePoint at_{}; // of its latest message
    std::set<std::string> endpoints_;
  };
  struct PeerShare
  {
    EndpointShare share_;
    TimePoint at_{};             // of the message that contained it
    const Peer* peer_ = nullptr; // in peers_, from which nothing is erased
  };
  // By host. Grouped by endpoint, because each placement sums over the few
  // hosts that have load there rather than over all hosts for each endpoint.
  using PeerShares = std::map<std::string, PeerShare>;

  void StorePeerShares(const std::string& aHost,
                       std::vector<EndpointShare> aShares,
                       TimePoint aAt);
  bool IsCurrent(const PeerShare& aReported, TimePoint aNow) const;

  EndpointShare ShareOf(const std::string& aId,
                        const LocalLoad& aOwn,
                        double aPace,
                        TimePoint aNow) const;
  int OverduePercent(const LocalLoad& aOwn, TimePoint aNow) const;
  void AddPeerVotes(const PeerShares& aShares,
                    TimePoint aNow,
                    PaceVotes& aVotes) const;
  double CombinedPace(const std::string& aEndpoint,
                      const LocalLoad* aOwn,
                      const PeerShares* aShares,
                      TimePoint aNow) const;
  double CombinedPace(const std::string& aEndpoint, TimePoint aNow) const;
  const LocalLoad* FindLocalLoad(const std::string& aEndpoint) const;
  const PeerShares* FindPeerShares(const std::string& aEndpoint) const;

  Options options_;
  // By endpoint. Hash maps, because each placement looks up every endpoint.
  std::unordered_map<std::string, LocalLoad> local_;
  std::unordered_map<std::string, PeerShares> shares_;
  std::map<std::string, Peer> peers_; // by host
  EndpointPace pace_{ EndpointPace::Options{} };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_LOAD_H_
