// Determines whether this host knows the load of its peers. When all hosts
// start together, for example after a power failure, requests arrive before the
// hosts have discovered each other. If each assumed that it is the only one,
// all of them would fill the same few engines.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_PEER_VISIBILITY_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_PEER_VISIBILITY_H_

#include <chrono>
#include <cstddef>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Not thread-safe.
class PeerVisibility
{
public:
  struct Options
  {
    // Time after the start for which a host assumes that peers exist, even if
    // it knows of none: within a second it has read the list of hosts from the
    // store and contacted them.
    std::chrono::milliseconds peerDiscovery_{ 1'000 };
    // Time without a message of any peer after which the load of the peers is
    // unknown; the same as FleetLoad::Options::peerTimeout_.
    std::chrono::milliseconds peerTimeout_{ 2'000 };
  };

  PeerVisibility(Options aOptions, TimePoint aStarted)
    : options_(aOptions)
    , started_(aStarted)
  {
  }

  /// Sets the number of other hosts.
  void OnPeersKnown(std::size_t aPeers) { peerCount_ = aPeers; }

  /// Records the arrival of a peer's load message.
  void OnLoadMessage(TimePoint aNow) { lastMessage_ = aNow; }

  /// Returns whether peers exist or may exist whose load is unknown.
  bool IsPeerLoadUnknown(TimePoint aNow) const;

private:
  Options options_;
  TimePoint started_;
  TimePoint lastMessage_{};
  std::size_t peerCount_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_PEER_VISIBILITY_H_
