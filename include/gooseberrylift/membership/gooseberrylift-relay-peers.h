// Chooses the host to which a request is relayed.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_RELAY_PEERS_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_RELAY_PEERS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/routing/gooseberrylift-allowed-regions.h"

namespace gooseberrylift {

// A request that needs another host.
struct RelayQuery
{
  std::string service_;
  AllowedZones allowedZones_;      // where its body may be sent
  std::set<std::string> excluded_; // hosts that could not take it
  std::uint64_t draw_ = 0;         // random
};

// Knows which live hosts accept relayed requests and reach which services. A
// host in the own zone is preferred, which costs no traffic between zones,
// unless more of the zone's hosts lack their links than are left: these would
// get several times their load. Of two random hosts, the one with fewer relayed
// requests of this host is chosen. Not thread-safe.
class RelayPeers
{
public:
  struct Options
  {
    std::string zone_;
    std::string region_;
    // Time for which a host that refused a request for a service gets no other
    // one. By then its digest says why.
    std::chrono::milliseconds refusalTime_{ 1'000 };
  };

  explicit RelayPeers(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  /// Sets the digests of the live hosts.
  void SetPeers(std::vector<Digest> aLive) { live_ = std::move(aLive); }

  /// Chooses a host.
  /// @return nothing if no host can take the request
  std::optional<PeerMember> Choose(const RelayQuery& aQuery,
                                   TimePoint aNow) const;

  /// Counts a request that is relayed to a host until OnEnded is called.
  void OnSent(const std::string& aHost) { ++active_[aHost]; }
  void OnEnded(const std::string& aHost);

  /// Records that a host could not take a request for a service.
  void OnRefused(const std::string& aHost,
                 const std::string& aService,
                 TimePoint aNow);

private:
  bool IsUsable(const Digest& aDigest,
                const RelayQuery& aQuery,
                TimePoint aNow) const;
  int ActiveAt(const std::string& aHost) const;

  Options options_;
  std::vector<Digest> live_;
  std::map<std::string, int> active_; // by host
  // By host and service.
  std::map<std::pair<std::string, std::string>, TimePoint> refusedUntil_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_RELAY_PEERS_H_
