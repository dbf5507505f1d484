// What is in work at each endpoint, from this host's own sends and its peers'
// word. The load it answers: many hosts before the same endpoints. With only
// its own sends in view each host takes the endpoints that it does not use
// itself for idle, and all of them place the next long prompt on the same one.

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

// What one request adds to the load of an endpoint.
struct RequestCost
{
  std::uint64_t memoryTokens_ = 0;      // prompt and answer
  std::chrono::microseconds read_{ 0 }; // until its first token
  bool tight_ = false;    // bears only the shortest gaps of the service
  bool helping_ = false;  // only reads and holds a part; it takes no slot
  bool deferred_ = false; // lets all others at its engine go first
};

// What one host has in work at one endpoint.
struct EndpointShare
{
  std::string id_;
  int running_ = 0; // requests that hold or wait for a slot
  int tight_ = 0;   // of these, that bear only the shortest gaps
  std::uint64_t memoryTokens_ = 0;
  std::chrono::microseconds backlog_{ 0 }; // still to be read
  int deferred_ = 0; // of the running, that wait and let all others go first
  std::chrono::milliseconds silent_{ 0 }; // since it last heard of it
};

// What all known hosts have in work at one endpoint.
struct EndpointLoad
{
  int running_ = 0;
  int tight_ = 0;
  std::uint64_t memoryTokens_ = 0;
  std::chrono::microseconds backlog_{ 0 };
  int deferred_ = 0; // of the running, that wait and let all others go first
};

// Not thread-safe.
class FleetLoad
{
public:
  struct Options
  {
    // A peer's word is dropped when none newer came for so long: its host is
    // gone or cut off, and what it had in work has mostly ended. Ten times the
    // usual pause between two words.
    std::chrono::milliseconds forgetPeer_{ 2'000 };
  };

  explicit FleetLoad(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Notes that a request was sent to an endpoint.
  void OnSent(const std::string& aEndpoint,
              std::uint64_t aRequest,
              const RequestCost& aCost,
              TimePoint aNow);

  /// Notes that a request's prompt was read: its first token came.
  void OnStarted(const std::string& aEndpoint,
                 std::uint64_t aRequest,
                 TimePoint aNow);

  /// Notes that a request ended at an endpoint, or was taken from it: that is
  /// no sign of life.
  void OnEnded(const std::string& aEndpoint, std::uint64_t aRequest);

  /// Forgets all that was in work at an endpoint, which has started again and
  /// knows nothing of it.
  void OnReborn(const std::string& aEndpoint);

  /// Takes in all that a peer has in work.
  /// @param aAt when the peer said so, on this host's clock
  void OnPeer(const std::string& aHost,
              std::vector<EndpointShare> aShares,
              TimePoint aAt);

  /// Takes in more of the word that a peer gave last.
  void OnMoreOfPeer(const std::string& aHost,
                    std::vector<EndpointShare> aShares);

  /// Takes in what has changed at some endpoints since a peer's last word.
  /// @param aAt when the peer said so, on this host's clock
  void OnChangeOfPeer(const std::string& aHost,
                      std::vector<EndpointShare> aShares,
                      TimePoint aAt);

  /// Gives the load of an endpoint as far as it is known.
  EndpointLoad Of(const std::string& aEndpoint, TimePoint aNow) const;

  /// Gives this host's own part, for its peers.
  std::vector<EndpointShare> OwnShares(TimePoint aNow) const;

  /// Sums by endpoint what this host and some of its peers have in work.
  /// @param aCounts says of a peer whether it belongs to the sum
  std::vector<EndpointShare> Sum(
    const std::function<bool(const std::string& aHost)>& aCounts,
    TimePoint aNow) const;

  /// Gives this host's own part at one endpoint.
  EndpointShare OwnShare(const std::string& aEndpoint, TimePoint aNow) const;

  /// Gives since when this host waits for an endpoint that sent nothing to any
  /// of its requests; zero when it waits for none.
  std::chrono::milliseconds SilentFor(const std::string& aEndpoint,
                                      TimePoint aNow) const;

  /// Says whether an endpoint began to answer a request of this host that was
  /// sent to it after this one, and had no right to go first.
  bool IsOvertaken(const std::string& aEndpoint, std::uint64_t aRequest) const;

  /// Gives since when no host has heard of an endpoint for which it waits, by
  /// the peers' words; nothing when no peer waits for it.
  std::optional<std::chrono::milliseconds> SilentToPeersFor(
    const std::string& aEndpoint,
    TimePoint aNow) const;

  /// Notes that an endpoint sent something.
  void OnHeard(const std::string& aEndpoint, TimePoint aNow);

private:
  struct Sent
  {
    RequestCost cost_;
    TimePoint at_;
    bool started_ = false;
  };
  struct Own
  {
    std::map<std::uint64_t, Sent> requests_;
    TimePoint heard_{}; // the last sign of life, or when the wait began
    // When the latest was sent of those that were begun, by whether they were
    // deferred.
    std::array<TimePoint, 2> latestBegun_{};
  };
  struct Peer
  {
    TimePoint at_{}; // of its last word
    std::set<std::string> endpoints_;
  };
  struct PeerShare
  {
    EndpointShare share_;
    TimePoint at_{};
    const Peer* peer_ = nullptr; // in peers_, where none is ever erased
  };
  // By host. Kept by endpoint, since each placement sums over the few hosts
  // that have something in work there, not over all hosts for each endpoint.
  using PeerShares = std::map<std::string, PeerShare>;

  void Put(const std::string& aHost,
           std::vector<EndpointShare> aShares,
           TimePoint aAt);
  bool Counts(const PeerShare& aSaid, TimePoint aNow) const;

  static EndpointShare ShareOf(const std::string& aId,
                               const Own& aOwn,
                               TimePoint aNow);

  Options options_;
  // By endpoint; each placement looks all of them up.
  std::unordered_map<std::string, Own> own_;
  std::unordered_map<std::string, PeerShares> shares_;
  std::map<std::string, Peer> peers_; // by host
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_LOAD_H_
