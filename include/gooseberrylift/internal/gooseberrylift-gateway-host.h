// One running host that serves routes: all its parts, put together in one
// place.

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
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-load-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-peer-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-route-follower.h"
#include "gooseberrylift/internal/gooseberrylift-settings-watch.h"
#include "gooseberrylift/internal/gooseberrylift-store-follower.h"
#include "gooseberrylift/internal/gooseberrylift-store-status-exchange.h"
#include "gooseberrylift/membership/gooseberrylift-peer-groups.h"

namespace gooseberrylift {

// Runs until SIGTERM or SIGINT, then stops in good order; SIGHUP and a changed
// settings file put new bounds in force:
//
//   GatewayHost host(settings, path);
//   const Outcome<void> ended = host.Run();
class GatewayHost
{
public:
  /// @param aSettings with gateway_ set
  /// @param aPath of the settings file, which is looked at again
  GatewayHost(Settings aSettings, std::string aPath);
  ~GatewayHost();

  /// Serves until a planned stop is done.
  /// @return an error when a port can't be listened on
  Outcome<void> Run();

private:
  Outcome<void> Listen();
  Digest OwnDigest();
  void TakeInPeers(const PeersState& aPeers);
  bool IsSeed() const; // others are told to come to this host first
  std::string AdminAddress() const;
  EndpointRateLimiter::Parts LimiterParts();
  StoreFollower::Parts FollowerParts();
  StoreFollower::Options FollowerOptions() const;
  boost::asio::awaitable<void> StartPeers();
  void ApplyBounds(const GatewaySettings& aBounds);
  std::string WhyNotReady();
  std::string StatusText();
  boost::asio::awaitable<void> HandleReady(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleAdmin(HttpExchange& aExchange);
  boost::asio::awaitable<void> WaitForStop();
  boost::asio::awaitable<void> Drain();

  Settings settings_;
  boost::asio::io_context context_;
  // Lives as long as the host: a second signal must not end the process while
  // it stops.
  boost::asio::signal_set stopSignals_;
  std::minstd_rand random_;
  GatewayBoard board_;
  Metrics metrics_;
  HttpClient client_;      // to endpoints
  HttpClient storeClient_; // a pool of its own, as each has its time-outs
  HttpClient peerClient_;
  std::unique_ptr<ObjectStore> store_;
  std::unique_ptr<WireDialect> dialect_;
  EndpointRateLimiter limiter_;
  Fleet fleet_;
  ReaderRank rank_;   // among the live hosts, as last heard
  PeerGroups groups_; // the other hosts, as last heard
  RouteFollower routes_;
  EndpointFollower endpoints_;
  StoreFollower follower_;
  SharedRetryBudget retryBudget_;
  std::atomic<bool> peersProven_ = false; // another host may believe keys
  PeerExchange peers_;
  PoisonRequestMonitor poisonRequestMonitor_;
  PeerDatagrams datagrams_;
  StoreStatusExchange headlines_;
  LoadExchange words_;
  SettingsWatch settingsWatch_;
  GatewayFront front_;
  HttpServer callerServer_;
  HttpServer readyServer_;
  HttpServer adminServer_;
  HttpServer peerServer_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_HOST_H_
