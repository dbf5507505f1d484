// Finds the other entry hosts through the store and exchanges digests with
// them, so that hosts hear of one another also while the store is down.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_EXCHANGE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_EXCHANGE_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <string>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/internal/gooseberrylift-config-follower.h"
#include "gooseberrylift/internal/gooseberrylift-peer-rpc.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// One object of this kind per availability zone lists its hosts.
constexpr const char* kMembersKind = "members";

// Writes the section peers_; reads configuration_, endpoints_, quarantine_,
// demand_, store_ and host_. Safe to use from several threads.
//
//   PeerExchange peers({ ... }, {});
//   peers.Start(port);          // once the peer port is known
class PeerExchange
{
public:
  struct Parts
  {
    const Settings& settings_;
    Blackboard& board_;
    ObjectStore& store_;
    ConfigFollower& follower_;
    HttpClient& client_;
    boost::asio::any_io_executor executor_;
  };

  struct Options
  {
    std::chrono::milliseconds round_{ 1000 };
    std::chrono::milliseconds callTimeout_{ 800 };
    std::chrono::milliseconds storeTimeout_{ 2000 };
    std::chrono::milliseconds joinRetry_{ 1000 };    // while not yet listed
    std::chrono::milliseconds listPeriod_{ 30'000 }; // when listed
    std::size_t newsFanout_ = 3;
  };

  PeerExchange(Parts aParts, Options aOptions);

  /// Begins to exchange and to join the store's list.
  /// @param aPort the port that peers reach this host on
  void Start(std::uint16_t aPort);

  /// Handles one request of the peer port's HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  /// Gives every other host known, live or not.
  std::vector<PeerMember> Known() const;

private:
  boost::asio::awaitable<void> RunRounds();
  boost::asio::awaitable<void> RunMembership();
  boost::asio::awaitable<bool> Join();
  boost::asio::awaitable<void> ExchangeWith(PeerMember aPeer);
  boost::asio::awaitable<void> FetchConfiguration(PeerMember aPeer);
  void StartExchanges(const std::vector<PeerMember>& aPeers);
  void OnConfiguration();
  void Refresh();
  Digest OwnDigest() const;
  nlohmann::json Answer(const nlohmann::json& aParams);
  nlohmann::json AnswerConfiguration() const;
  void TakeIn(const PeerMessage& aMessage);
  void Publish();

  Parts parts_;
  Options options_;
  PeerRpc rpc_;
  mutable std::mutex mutex_; // guards table_, fetching_
  std::unique_ptr<PeerTable> table_;
  bool fetching_ = false;
  std::mutex publishMutex_; // snapshots are written in their order
  PeerMember self_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_EXCHANGE_H_
