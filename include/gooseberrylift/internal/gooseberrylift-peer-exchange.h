// Discovers the other entry hosts through the store and exchanges digests with
// them (a gossip protocol), so that hosts learn of each other even while the
// store is down.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_EXCHANGE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_EXCHANGE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/internal/gooseberrylift-peer-rpc.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// Kind of the objects that list the hosts, one per availability zone.
constexpr const char* kMembersKind = "members";

// The configuration in force on a host, as fetched by a peer with an older one.
struct OfferedConfiguration
{
  std::uint64_t generation_ = 0; // 0 when there is none
  std::string text_;
};

// Independent of what its host serves: all data passes through the functions of
// Parts. Thread-safe if these functions are.
//
//   PeerExchange peers({ ... }, {});
//   peers.Start(port);          // once the peer port and the keys are known
class PeerExchange
{
public:
  struct Parts
  {
    const Settings& settings_;
    ObjectStore& store_;
    HttpClient& client_;
    boost::asio::any_io_executor executor_;
    // Returns this host's digest, except its names and sequence number.
    std::function<Digest()> own_;
    // Receives the latest digests of the other hosts.
    std::function<void(const PeersState& aPeers)> onPeersChanged_;
    // Return the configuration in force and receive a newer one from a peer.
    // Empty when hosts get configurations in another way.
    std::function<OfferedConfiguration()> configuration_{};
    std::function<void(const OfferedConfiguration& aOffered)> offer_{};
    // Return this host's evidence of crashed endpoints and receive that of a
    // peer. Empty when hosts exchange none.
    std::function<CrashEvidence()> crashEvidence_{};
    std::function<void(const CrashEvidence& aEvidence)> onCrashEvidence_{};
    // Returns whether this host adds itself to the store's list, where hosts
    // that reach no peer look for one; empty: always.
    std::function<bool()> isListed_{};
  };

  struct Options
  {
    std::chrono::milliseconds round_{ 1000 };
    // The interval in a large fleet, where a host follows only its own zone in
    // full; at least round_.
    std::chrono::milliseconds largeFleetRound_{ 1000 };
    // Publishes once per round instead of after each message, except for
    // quarantine entries, which must take effect at once. With rounds of 150 ms
    // and 100 peers, all other changes can wait for the next round.
    bool publishesInRounds_ = false;
    std::chrono::milliseconds callTimeout_{ 800 };
    std::chrono::milliseconds storeTimeout_{ 2000 };
    std::chrono::milliseconds joinRetry_{ 1000 }; // until this host is listed
    std::chrono::milliseconds listPeriod_{ 30'000 }; // once listed
    // Time for which a host with seed addresses in its settings asks only the
    // seeds before it reads the store's list.
    std::chrono::milliseconds seedGracePeriod_{ 1'000 };
    std::size_t configurationFanout_ = 3;
    std::size_t roundFanout_ = 2; // per round, in a small fleet
    int roundsUntilExpired_ = 5;
    std::size_t relayed_ = 8;     // digests of other hosts per message
    std::size_t scopeFanout_ = 8; // all peers in a small fleet
  };

  PeerExchange(Parts aParts, Options aOptions);

  /// Starts the exchange rounds and joins the store's list of members.
  /// @param aPort the port on which peers reach this host
  /// @param aKeys the hosts' keys: the first one signs, all are accepted
  /// @param aOtherAddress a second address at which this host handles calls
  /// from peers; empty: none
  void Start(std::uint16_t aPort,
             std::vector<std::string> aKeys,
             const std::string& aOtherAddress = "");

  /// Announces a new configuration to peers with an older one at once, without
  /// waiting for the next round.
  void AnnounceConfiguration();

  /// Exchanges with peers in scope at once, for changes that can't wait for the
  /// next round.
  void ExchangeInScope();

  /// Registers a method that peers may call. Must be called before Start.
  void AddMethod(const std::string& aName, PeerRpc::Method aMethod)
  {
    rpc_.Add(aName, std::move(aMethod));
  }

  /// Calls a method on a peer.
  /// @return the result, or an error with kPeerUnreachable or kPeerRefused
  boost::asio::awaitable<Outcome<nlohmann::json>> Call(PeerMember aPeer,
                                                       std::string aMethod,
                                                       nlohmann::json aParams,
                                                       TimePoint aDeadline);

  /// Returns the calls between hosts; nothing before Start, when this host has
  /// no keys yet.
  PeerRpc* Rpc() { return started_ ? &rpc_ : nullptr; }

  /// Handles one request of the peer port's HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  /// Records a sign of life of another host from outside the exchange.
  void OnHeard(const std::string& aHost);

  /// Returns all other known hosts, live or not.
  std::vector<PeerMember> Known() const;

private:
  boost::asio::awaitable<void> RunRounds();
  boost::asio::awaitable<void> RunMembership();
  boost::asio::awaitable<bool> Join();
  boost::asio::awaitable<bool> JoinStoreList();
  boost::asio::awaitable<bool> FetchMembers();
  boost::asio::awaitable<void> ExchangeWith(PeerMember aPeer);
  boost::asio::awaitable<void> FetchConfiguration(PeerMember aPeer);
  std::vector<PeerMember> SeedPeers() const;
  void StartExchanges(const std::vector<PeerMember>& aPeers);
  void UpdateOwnDigest();
  PeerMessage MakeMessage(const std::string& aZone);
  nlohmann::json HandleExchange(const nlohmann::json& aParams);
  nlohmann::json HandleConfiguration() const;
  nlohmann::json HandleMembers() const;
  void HandleMessage(const PeerMessage& aMessage);
  std::chrono::milliseconds Round() const;
  void Publish();

  Parts parts_;
  Options options_;
  PeerRpc rpc_;
  mutable std::mutex mutex_; // guards table_, fetching_
  std::unique_ptr<PeerTable> table_;
  bool fetching_ = false;
  std::mutex publishMutex_; // keeps snapshots in order
  std::atomic<bool> started_ = false;
  // Whether no other host was live at the last publication.
  std::atomic<bool> noLivePeers_ = true;
  std::atomic<std::size_t> roundsWithoutPeers_ = 0; // consecutive
  PeerMember self_;
  std::string otherAddress_; // second address of this host
  TimePoint nextListRead_{}; // of the store's list
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_EXCHANGE_H_
