// Finds the other entry hosts through the store and exchanges digests with
// them, so that hosts hear of one another also while the store is down.

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

// One object of this kind per availability zone lists its hosts.
constexpr const char* kMembersKind = "members";

// What a host has in force, as a peer that is behind fetches it.
struct OfferedConfiguration
{
  std::uint64_t generation_ = 0; // 0 when there is none
  std::string text_;
};

// Knows nothing of what its host serves: that comes and goes through the
// functions of Parts. Safe to use from several threads when these are.
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
    // Gives this host's word of itself, but for names and sequence.
    std::function<Digest()> own_;
    // Takes the latest words of the other hosts.
    std::function<void(const PeersState& aPeers)> onPeersChanged_;
    // Gives and takes configurations; empty when hosts get them elsewhere.
    std::function<OfferedConfiguration()> configuration_{};
    std::function<void(const OfferedConfiguration& aOffered)> offer_{};
    // Says whether this host is to be found in the store's list, for those that
    // reach no other host; empty: always.
    std::function<bool()> isListed_{};
  };

  struct Options
  {
    std::chrono::milliseconds round_{ 1000 };
    // The same in a fleet in which a host follows only its own zone in full;
    // not below round_.
    std::chrono::milliseconds largeFleetRound_{ 1000 };
    // Publishes once a round in place of after each message, but for a
    // quarantine, which other hosts need at once. With rounds of 150 ms and a
    // hundred peers the rest can wait for the next one.
    bool publishesInRounds_ = false;
    std::chrono::milliseconds callTimeout_{ 800 };
    std::chrono::milliseconds storeTimeout_{ 2000 };
    std::chrono::milliseconds joinRetry_{ 1000 };    // while not yet listed
    std::chrono::milliseconds listPeriod_{ 30'000 }; // when listed
    // With addresses of others in its settings a host asks these for the fleet
    // so long before it looks into the store's list.
    std::chrono::milliseconds seedsWithin_{ 1'000 };
    std::size_t newsFanout_ = 3;
    std::size_t roundFanout_ = 2; // a round, in a small fleet
    int roundsUntilExpired_ = 5;
    std::size_t relayed_ = 8;    // words of others in a message
    std::size_t nearFanout_ = 8; // all of a small fleet
  };

  PeerExchange(Parts aParts, Options aOptions);

  /// Begins to exchange and to join the store's list.
  /// @param aPort the port that peers reach this host on
  /// @param aKeys the keys of the hosts: the first signs, all are accepted
  /// @param aOtherAddress another address at which this host handles calls of
  /// peers; empty: none
  void Start(std::uint16_t aPort,
             std::vector<std::string> aKeys,
             const std::string& aOtherAddress = "");

  /// Tells peers that are behind of a new configuration, at once instead of
  /// with the next round.
  void AnnounceConfiguration();

  /// Exchanges with peers nearby at once, for what can't wait for a round.
  void ExchangeInScope();

  /// Adds a method that peers may call; only before Start.
  void AddMethod(const std::string& aName, PeerRpc::Method aMethod)
  {
    rpc_.Add(aName, std::move(aMethod));
  }

  /// Calls a method of a peer.
  /// @return the result, or an error with kPeerUnreachable or kPeerRefused
  boost::asio::awaitable<Outcome<nlohmann::json>> Call(PeerMember aPeer,
                                                       std::string aMethod,
                                                       nlohmann::json aParams,
                                                       TimePoint aDeadline);

  /// Handles one request of the peer port's HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  /// Notes that another host was heard of in some other way.
  void OnHeard(const std::string& aHost);

  /// Gives every other host known, live or not.
  std::vector<PeerMember> Known() const;

private:
  boost::asio::awaitable<void> RunRounds();
  boost::asio::awaitable<void> RunMembership();
  boost::asio::awaitable<bool> Join();
  boost::asio::awaitable<bool> JoinList();
  boost::asio::awaitable<bool> AskForMembers();
  boost::asio::awaitable<void> ExchangeWith(PeerMember aPeer);
  boost::asio::awaitable<void> FetchConfiguration(PeerMember aPeer);
  std::vector<PeerMember> SeedPeers() const;
  void StartExchanges(const std::vector<PeerMember>& aPeers);
  void Refresh();
  nlohmann::json Answer(const nlohmann::json& aParams);
  nlohmann::json AnswerConfiguration() const;
  nlohmann::json AnswerMembers() const;
  void TakeIn(const PeerMessage& aMessage);
  std::chrono::milliseconds Round() const;
  void Publish();

  Parts parts_;
  Options options_;
  PeerRpc rpc_;
  mutable std::mutex mutex_; // guards table_, fetching_
  std::unique_ptr<PeerTable> table_;
  bool fetching_ = false;
  std::mutex publishMutex_; // snapshots are written in their order
  std::atomic<bool> started_ = false;
  std::atomic<bool> alone_ = true; // no other host was live when last published
  std::atomic<std::size_t> roundsAlone_ = 0; // consecutive
  PeerMember self_;
  std::string otherAddress_; // at which this host is reached as well
  TimePoint listAgainAt_{};  // until then the store's list need not be read
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_EXCHANGE_H_
