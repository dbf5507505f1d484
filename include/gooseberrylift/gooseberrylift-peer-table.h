// Gossip state of one host: selects the peers to exchange digests with and the
// digests to relay, and detects failed hosts.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_PEER_TABLE_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_PEER_TABLE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/limits/gooseberrylift-crash-evidence.h"

namespace gooseberrylift {

// A host as listed in the store's membership.
struct PeerMember
{
  std::string host_;
  std::string zone_;
  std::string region_;
  std::string address_; // IP:port
  std::uint64_t incarnation_ = 0;
};

// A message between hosts: the sender's own digest and relayed digests of
// others.
struct PeerMessage
{
  Digest from_;
  std::vector<Digest> relayed_;
  CrashEvidence crashEvidence_{}; // that the sender knows of
};

// The result of processing a message.
struct PeerMergeResult
{
  bool changed_ = false;         // it contained a newer digest
  std::uint64_t generation_ = 0; // the sender's; fetched if it is higher
};

// The state of a push-pull gossip protocol with random peers. Each message
// carries the sender's own digest. State that every host republishes once it
// has received it (generation, endpoint states, quarantine) reaches all hosts
// in a number of rounds that is logarithmic in the number of hosts.
//
// Digests of other hosts are relayed only within an availability zone. Each
// message contains a fixed number of them, the least often relayed first. The
// cost of a host thus depends on the size of its zone, and the size of a
// message is bounded. A fleet of fewer than kSmallFleet other hosts is treated
// as a single zone.
//
// Not thread-safe. The owner passes the current time to each call:
//
//   PeerTable table({ .host_ = "entry-1", .zone_ = "a", .seed_ = 1 });
//   table.OnMembers(members, now);
//   table.BeginRound(digest, now);
//   for (const PeerMember& peer : table.SelectPeers()) {
//     send(table.MakeMessage(peer.zone_));
//   }
class PeerTable
{
public:
  // Fleets of this size or above follow only their own zone in full. Leaves
  // margin for growth above the usual 6 to 9 hosts.
  static constexpr std::size_t kSmallFleet = 32;

  // The size of the random sample of hosts kept from other zones. Few links per
  // host suffice for updates to cross a random graph, and the bound makes
  // memory depend on the size of the own zone only.
  static constexpr std::size_t kMaxOutOfZonePeers = 64;

  struct Options
  {
    std::string host_;
    std::string zone_;
    std::string region_;
    std::string address_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t seed_ = 0;
    std::chrono::milliseconds round_{ 1000 };
    std::chrono::milliseconds largeFleetRound_{ 1000 }; // from kSmallFleet
    std::size_t roundFanout_ = 2; // peers per round in a small fleet
    // Eight digests of about 130 bytes keep a message below 1.5 KB.
    std::size_t relayedPerMessage_ = 8;
    // The number of heartbeat intervals without a sign of life after which a
    // host is considered failed. Allows for one or two lost messages and the
    // delay of relaying.
    int roundsUntilExpired_ = 5;
  };

  explicit PeerTable(Options aOptions);

  /// Adds the members listed in the store, which may include hosts that no
  /// message has mentioned yet.
  void OnMembers(const std::vector<PeerMember>& aMembers, TimePoint aNow);

  /// Starts a round and publishes this host's own digest. Sets the digest's
  /// host, zone, region, address, incarnation and sequence.
  void BeginRound(Digest aOwn, TimePoint aNow);

  /// Selects the peers to exchange digests with in this round.
  std::vector<PeerMember> SelectPeers();

  /// Selects peers for a new generation that should not wait for the next
  /// round: hosts that are not known to have this host's generation.
  std::vector<PeerMember> SelectOutdatedPeers(std::size_t aCount);

  /// Selects live peers for an update that concerns all hosts in scope: those
  /// of the own zone, or all hosts of a small fleet.
  std::vector<PeerMember> SelectPeersInScope(std::size_t aCount);

  /// Builds the message, or the reply, for a peer in a zone.
  PeerMessage MakeMessage(const std::string& aZone);

  /// Processes a peer's message.
  PeerMergeResult OnMessage(const PeerMessage& aMessage, TimePoint aNow);

  /// Records a sign of life of a host that did not come by a digest.
  void OnHeard(const std::string& aHost, TimePoint aNow);

  /// Returns the interval between two rounds.
  std::chrono::milliseconds Round() const
  {
    return IsSmall() ? options_.round_
                     : std::max(options_.round_, options_.largeFleetRound_);
  }

  /// Returns the latest digest of every other live host.
  std::vector<Digest> Live(TimePoint aNow) const;

  /// Returns all other known hosts, live or not, sorted by name.
  std::vector<PeerMember> Known() const;

  /// Returns the other hosts with a recent digest. A host that has just started
  /// requests this list.
  std::vector<PeerMember> RecentlyHeard(TimePoint aNow) const;

  /// Estimates the number of other hosts in the fleet: the known hosts of the
  /// own zone, plus for each other zone the highest count that one of its hosts
  /// reported, since most hosts of other zones are not followed. Right after
  /// hosts have failed, the estimate may be too high.
  std::size_t EstimateOtherHosts() const;

  const Digest& Own() const { return own_; }

private:
  struct Entry
  {
    PeerMember member_;
    Digest digest_; // host_ is empty until one is received
    TimePoint lastHeard_{};
    TimePoint lastListed_{};
    int relayCount_ = 0; // since digest_ last changed
  };

  bool MergeDigest(const Digest& aDigest, TimePoint aNow);
  bool IsSmall() const { return entries_.size() < kSmallFleet; }
  bool InScope(const std::string& aZone) const;
  std::map<std::string, std::size_t> ZoneHosts() const; // without this host
  std::size_t CountInScope() const;
  std::chrono::milliseconds Heartbeat() const;
  bool HasCapacityFor(const std::string& aZone) const;
  bool IsLive(const Entry& aEntry, TimePoint aNow) const;
  void EvictExpired(TimePoint aNow);
  void SelectRandomPeer(const std::vector<const Entry*>& aFrom,
                        std::vector<PeerMember>& aPicked);

  Options options_;
  std::mt19937_64 random_;
  Digest own_;
  TimePoint lastRound_{};
  TimePoint lastHeartbeat_{};
  std::uint64_t rounds_ = 0;
  std::size_t hostsInScope_ = 0; // updated once per round
  std::map<std::string, Entry> entries_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_PEER_TABLE_H_
