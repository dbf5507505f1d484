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
  // Prefill time of the requests without a first token, including what may have
  // been done of it, and the time since it was sent. Several requests count as
  // one, sent so that the engine finishes it when it finishes the last of them.
  // An engine prefills the requests of all hosts one after another, so that no
  // host by itself can tell how much of its own is outstanding.
  std::chrono::milliseconds unstarted_{ 0 };
  std::chrono::milliseconds unstartedFor_{ 0 };
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
  int pressure_ = 0; // of running_, not requests; see EndpointPressure
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

  /// Returns this host's own load, for messages to its peers. It contains no
  /// rejections and backoffs.
  std::vector<EndpointShare> OwnShares(TimePoint aNow) const;

  /// Sums the load of this host and of selected peers by endpoint.
  /// @param aIncludes returns whether a peer is part of the sum
  std::vector<EndpointShare> Sum(
    const std::function<bool(const std::string& aHost)>& aIncludes,
    TimePoint aNow) const;

  /// Returns this host's own load at one endpoint.
  EndpointShare OwnShare(const std::string& aEndpoint, TimePoint aNow) const;

  /// Returns whether this host waits for the first response of an endpoint that
  /// was idle, so that it may hang.
  bool IsUnproven(const std::string& aEndpoint) const;

  /// Records that an endpoint sent data, also if another host relayed it.
  void RecordData(TimePoint aNow);

  /// Returns whether endpoints have been sending data to this host's requests
  /// for a while. If they all stood still and one resumes, the others mostly do
  /// so a moment later.
  bool AreResponding(TimePoint aNow) const;

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

private:
  struct SentRequest
  {
    RequestCost cost_;
    TimePoint at_;
    bool started_ = false;
  };
  struct LocalLoad
  {
    std::map<std::uint64_t, SentRequest> requests_;
    TimePoint lastHeard_{}; // last data received, or start of the wait
    bool hasResponded_ = false;
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

  // Prefill that was sent to an endpoint and has no first token yet.
  struct QueuedPrefill
  {
    TimePoint sentAt_;
    std::chrono::microseconds prefill_;
    // Counts as outstanding even if the engine should have done it.
    std::chrono::microseconds minimum_;
  };
  static TimePoint FinishTime(std::vector<QueuedPrefill> aQueue);
  static std::chrono::microseconds OutstandingPrefill(
    const std::vector<QueuedPrefill>& aQueue,
    TimePoint aNow);
  static void SetUnstarted(const std::vector<QueuedPrefill>& aQueue,
                           TimePoint aNow,
                           EndpointShare& aShare);
  static void AddUnstarted(const LocalLoad& aOwn,
                           std::vector<QueuedPrefill>& aQueue);
  static EndpointShare ShareOf(const std::string& aId,
                               const LocalLoad& aOwn,
                               TimePoint aNow);

  Options options_;
  // By endpoint. Hash maps, because each placement looks up every endpoint.
  std::unordered_map<std::string, LocalLoad> local_;
  std::unordered_map<std::string, PeerShares> shares_;
  std::map<std::string, Peer> peers_; // by host
  TimePoint lastDataAt_{};            // from any endpoint
  TimePoint respondingSince_{};       // without a long interruption
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_LOAD_H_
