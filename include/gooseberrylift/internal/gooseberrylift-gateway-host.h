// A gateway host, which serves routes: creates and connects all its components.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_HOST_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_HOST_H_

#include <atomic>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-endpoint-rate-limiter.h"
#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-gateway-front.h"
#include "gooseberrylift/internal/gooseberrylift-host-memory.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-listeners.h"
#include "gooseberrylift/internal/gooseberrylift-load-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-pause-monitor.h"
#include "gooseberrylift/internal/gooseberrylift-peer-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-promise-book.h"
#include "gooseberrylift/internal/gooseberrylift-relay-client.h"
#include "gooseberrylift/internal/gooseberrylift-relay-server.h"
#include "gooseberrylift/internal/gooseberrylift-route-follower.h"
#include "gooseberrylift/internal/gooseberrylift-settings-watch.h"
#include "gooseberrylift/internal/gooseberrylift-store-follower.h"
#include "gooseberrylift/internal/gooseberrylift-store-status-exchange.h"
#include "gooseberrylift/membership/gooseberrylift-peer-groups.h"

namespace gooseberrylift {

// Runs until SIGTERM, SIGINT or SIGQUIT, then drains and stops. Applies new
// gateway settings on SIGHUP or when the settings file changes:
//
//   GatewayHost host(settings, file);
//   const Outcome<void> ended = host.Run();
class GatewayHost
{
public:
  /// @param aSettings with gateway_ set
  /// @param aFile which is watched for changes, with the text of aSettings
  GatewayHost(Settings aSettings, SettingsFile aFile);
  ~GatewayHost();

  /// Serves until a planned stop is complete.
  /// @return an error when a port can never be listened on
  Outcome<void> Run();

private:
  void AddListeners();
  void LogStarted();
  Digest OwnDigest();
  void ApplyPeers(const PeersState& aPeers);
  void OnLinksChanged(const std::string& aService, bool aLost);
  bool IsSeed() const; // other hosts contact seeds first
  std::string AdminAddress() const;
  EndpointRateLimiter::Parts LimiterParts();
  StoreFollower::Parts StoreFollowerParts();
  StoreFollower::Options StoreFollowerOptions() const;
  boost::asio::awaitable<void> StartPeers();
  void ApplySettings(const Settings& aSettings);
  void ApplyGatewaySettings(const GatewaySettings& aGatewaySettings);
  void ApplyColdTerms(const RouteTable& aTable);
  bool HasOtherSeeds() const;
  bool VerifiesQuarantines() const;
  std::string NotReadyReason();
  std::string StatusText();
  boost::asio::awaitable<void> HandleReady(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleAdmin(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandlePeer(HttpExchange& aExchange);
  boost::asio::awaitable<void> WaitForStop();
  boost::asio::awaitable<void> DrainOrFail();
  boost::asio::awaitable<void> Drain();

  Settings settings_;
  boost::asio::io_context context_;
  // A member, so that a second signal does not kill the process while it is
  // stopping.
  boost::asio::signal_set stopSignals_;
  std::minstd_rand random_;
  HostMemory memory_;
  GatewayBoard board_;
  Metrics metrics_;
  HttpClient client_;      // to endpoints
  HttpClient storeClient_; // separate clients, since the timeouts differ
  HttpClient peerClient_;
  std::unique_ptr<ObjectStore> store_;
  std::unique_ptr<WireDialect> dialect_;
  EndpointRateLimiter limiter_;
  Fleet fleet_;
  LinkProber links_;
  EndpointClient endpointClient_;
  ReaderRank rank_;       // among the live hosts, as last reported
  PeerGroups peerGroups_; // of the other hosts, as last reported
  RouteFollower routes_;
  EndpointFollower endpoints_;
  StoreFollower storeFollower_;
  SharedRetryBudget retryBudget_;
  PromiseBook promises_;
  // Whether another host that is not draining accepts keys.
  std::atomic<bool> peersHaveProvenKeys_ = false;
  PeerExchange peers_;
  RelayClient relays_;
  PoisonRequestMonitor poisonRequestMonitor_;
  PeerDatagrams datagrams_;
  StoreStatusExchange statusExchange_;
  WaitingRoom waitingRoom_;
  LoadExchange loadExchange_;
  SettingsWatch settingsWatch_;
  PauseMonitor pauseMonitor_;
  GatewayFront front_;
  RelayServer relayServer_;
  HttpServer callerServer_;
  HttpServer readyServer_;
  HttpServer adminServer_;
  HttpServer peerServer_;
  Listeners listeners_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_HOST_H_
