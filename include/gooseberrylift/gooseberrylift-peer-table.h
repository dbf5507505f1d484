// Decides with whom a host exchanges digests, what it passes on, and which
// other hosts it takes for live.

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

namespace gooseberrylift {

// A host as the store's lists of members show it.
struct PeerMember
{
  std::string host_;
  std::string zone_;
  std::string region_;
  std::string address_; // IP:port
  std::uint64_t incarnation_ = 0;
};

// What one host sends another: its own word, and others' words it passes on.
struct PeerMessage
{
  Digest from_;
  std::vector<Digest> relayed_;
};

// What a message brought.
struct PeerNews
{
  bool changed_ = false;         // something newer was learnt
  std::uint64_t generation_ = 0; // the sender's, to fetch when it is higher
};

// The state of one host's exchange: push and pull with random peers. Each
// message carries the sender's own digest, so what every host repeats once it
// has learnt it (generation, endpoint states, quarantine) reaches all in a
// number of rounds that grows with the logarithm of the hosts. Digests of
// others are passed on inside an availability zone only, a fixed number a
// message, those told least often first; a host's cost thus follows the
// size of its zone, and is bounded a message. Up to kSmallFleet hosts, all are
// treated as one zone.
//
// Not thread-safe; one owner feeds it events that carry the time:
//
//   PeerTable table({ .host_ = "entry-1", .zone_ = "a", .seed_ = 1 });
//   table.OnMembers(members, now);
//   table.SetOwn(digest, now);
//   for (const PeerMember& peer : table.PickPeers(now)) {
//     send(table.MakeMessage(peer.zone_));
//   }
class PeerTable
{
public:
  // Today's 6 to 9 hosts and their growth; above, a host's zone bounds what it
  // follows in full.
  static constexpr std::size_t kSmallFleet = 32;

  // Hosts beyond the own zone that are kept, a random sample: news needs few
  // links to cross a random graph, and memory then follows the zone's size.
  static constexpr std::size_t kFarPeers = 64;

  struct Options
  {
    std::string host_;
    std::string zone_;
    std::string region_;
    std::string address_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t seed_ = 0;
    std::chrono::milliseconds round_{ 1000 };
    std::chrono::milliseconds largeRound_{ 1000 }; // above kSmallFleet
    std::size_t partners_ = 2;                     // a round, in a small fleet
    // Eight digests of about 130 bytes keep a message below 1.5 KB.
    std::size_t relayedPerMessage_ = 8;
    // Rounds without news of a host until it is taken for gone: a lost message
    // or two and the passing on must fit.
    int roundsUntilGone_ = 5;
  };

  explicit PeerTable(Options aOptions);

  /// Takes in the store's members, which fill gaps in what was heard.
  void OnMembers(const std::vector<PeerMember>& aMembers, TimePoint aNow);

  /// Begins a round with this host's own word of itself. Names, incarnation
  /// and sequence are filled in here.
  void SetOwn(Digest aOwn, TimePoint aNow);

  /// Chooses this round's partners.
  std::vector<PeerMember> PickPeers();

  /// Chooses partners for news that should not wait for the next round: hosts
  /// not known to be at this host's generation.
  std::vector<PeerMember> PickForNews(std::size_t aCount);

  /// Chooses partners for news that concerns all hosts of the own scope.
  std::vector<PeerMember> PickNear(std::size_t aCount);

  /// Makes the message for a partner in a zone; also the answer to one.
  PeerMessage MakeMessage(const std::string& aZone);

  /// Takes in a partner's message.
  PeerNews OnMessage(const PeerMessage& aMessage, TimePoint aNow);

  /// Notes that a host was heard of in another way.
  void OnHeard(const std::string& aHost, TimePoint aNow);

  /// Gives the time between two rounds.
  std::chrono::milliseconds Round() const
  {
    return IsSmall() ? options_.round_
                     : std::max(options_.round_, options_.largeRound_);
  }

  /// Gives the latest digest of every other host that is live.
  std::vector<Digest> Live(TimePoint aNow) const;

  /// Gives every other host known, live or not, by name.
  std::vector<PeerMember> Known() const;

  /// Gives the other hosts that were heard of lately, for a host that has just
  /// started.
  std::vector<PeerMember> HeardLately(TimePoint aNow) const;

  /// Gives the number of other hosts in the fleet: those of the own zone, and
  /// of each other zone as many as a host of it has told, so that it holds also
  /// where most of them are not followed. It is rather too high than too low
  /// right after hosts were lost.
  std::size_t FleetSize() const;

  const Digest& Own() const { return own_; }

private:
  struct Entry
  {
    PeerMember member_;
    Digest digest_; // host_ is empty until one was heard
    TimePoint heard_{};
    TimePoint listed_{};
    int told_ = 0; // how often passed on since it changed
  };

  bool Learn(const Digest& aDigest, TimePoint aNow);
  bool IsSmall() const { return entries_.size() < kSmallFleet; }
  bool InScope(const std::string& aZone) const;
  std::map<std::string, std::size_t> ZoneHosts() const; // the others known
  std::size_t CountNear() const;
  std::chrono::milliseconds Heartbeat() const;
  bool HasRoomFor(const std::string& aZone) const;
  bool IsLive(const Entry& aEntry, TimePoint aNow) const;
  void ForgetGone(TimePoint aNow);
  void PickOne(const std::vector<const Entry*>& aFrom,
               std::vector<PeerMember>& aPicked);

  Options options_;
  std::mt19937_64 random_;
  Digest own_;
  TimePoint lastRound_{};
  TimePoint lastBeat_{};
  std::uint64_t rounds_ = 0;
  std::size_t near_ = 0; // hosts in scope, counted once a round
  std::map<std::string, Entry> entries_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_PEER_TABLE_H_
