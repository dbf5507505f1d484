// Decides which other hosts a host tells what, by where they stand. The load it
// answers: fleets from a handful of hosts, of which each tells all others, to
// thousands, of which each follows its own zone and hears of the rest in sums.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_PEER_GROUPS_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_PEER_GROUPS_H_

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/membership/gooseberrylift-read-turn.h"

namespace gooseberrylift {

// Who gets words of load, as IP:port each.
struct WordPeers
{
  // Those that get each word: in a small fleet all others, in a large one those
  // of the own zone.
  std::vector<std::string> near_;
  // Of the live ones of each other zone, in a large fleet.
  std::map<std::string, std::vector<std::string>> far_;
  // Of those that sum up this zone when this host falls silent.
  std::vector<std::string> successors_;
  std::size_t rank_ = 0; // of this host in its zone
};

// The other hosts, sorted by what they are for.
struct PeerGroups
{
  WordPeers words_;
  std::set<std::string> zoneHosts_; // of the own zone, by name
  // Live ones to ask what they know of the store; in a small fleet all of them
  // are near, in a large one those of the own zone.
  std::vector<PeerMember> near_;
  std::vector<PeerMember> far_;
};

// What there is to sort.
struct PeersInView
{
  std::string host_; // this host
  std::string zone_;
  std::vector<PeerMember> known_; // other hosts, live or not
  std::vector<Digest> live_;      // words of the live ones
  std::size_t fleet_ = 0;         // other hosts of the whole fleet
};

/// Sorts the other hosts. Up to PeerTable::kSmallFleet of them all are near.
PeerGroups GroupPeers(const PeersInView& aView);

/// Draws the hosts that are asked in a round what they know of the store.
std::vector<PeerMember> DrawPeers(const PeerGroups& aGroups,
                                  std::minstd_rand& aRandom);

/// Ranks a host among the live ones for reading the store.
/// @param aSelf this host
ReadRank RankAmong(const ReadCandidate& aSelf,
                   const std::vector<Digest>& aLive);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_PEER_GROUPS_H_
