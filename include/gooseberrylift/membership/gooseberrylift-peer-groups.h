// Selects which other hosts a host communicates with, by fleet size and zone.
// In a small fleet each host informs all others. In a fleet of thousands, each
// host informs its own zone and receives totals for the other zones.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_PEER_GROUPS_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_PEER_GROUPS_H_

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/membership/gooseberrylift-store-read-schedule.h"

namespace gooseberrylift {

// The recipients of load messages, each as IP:port.
struct LoadMessagePeers
{
  // Recipients of every message: all other hosts in a small fleet, the hosts
  // of the own zone in a large one.
  std::vector<std::string> near_;
  // The live hosts of each other zone; empty in a small fleet.
  std::map<std::string, std::vector<std::string>> far_;
  // The hosts that take over aggregating this zone if this host fails.
  std::vector<std::string> successors_;
  std::size_t rank_ = 0; // of this host in its zone
};

// The other hosts, grouped by how this host communicates with them.
struct PeerGroups
{
  LoadMessagePeers loadMessagePeers_;
  std::set<std::string> zoneHosts_; // names of the hosts of the own zone
  // Live hosts to exchange store status with. In a small fleet all of them are
  // near, in a large one those of the own zone.
  std::vector<PeerMember> near_;
  std::vector<PeerMember> far_;
};

// Input of GroupPeers().
struct PeerSnapshot
{
  std::string host_; // this host
  std::string zone_;
  std::vector<PeerMember> known_; // other hosts, live or not
  std::vector<Digest> live_;      // digests of the live ones
  std::size_t fleet_ = 0;         // number of other hosts in the whole fleet
};

/// Groups the other hosts. In a fleet of fewer than PeerTable::kSmallFleet
/// other hosts, all of them are near.
PeerGroups GroupPeers(const PeerSnapshot& aPeers);

/// Picks at random the hosts to exchange store status with in one round.
std::vector<PeerMember> SamplePeers(const PeerGroups& aGroups,
                                    std::minstd_rand& aRandom);

/// Ranks a host among the live ones for reading the store.
/// @param aSelf this host
ReaderRank RankAmong(const ReaderCandidate& aSelf,
                     const std::vector<Digest>& aLive);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_PEER_GROUPS_H_
