// An entry host: creates and connects all its components.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENTRY_HOST_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENTRY_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-admin-api.h"
#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/internal/gooseberrylift-burn-recorder.h"
#include "gooseberrylift/internal/gooseberrylift-caller-api.h"
#include "gooseberrylift/internal/gooseberrylift-config-api.h"
#include "gooseberrylift/internal/gooseberrylift-config-follower.h"
#include "gooseberrylift/internal/gooseberrylift-endpoint-tracker.h"
#include "gooseberrylift/internal/gooseberrylift-host-memory.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-job-api.h"
#include "gooseberrylift/internal/gooseberrylift-job-runner.h"
#include "gooseberrylift/internal/gooseberrylift-listeners.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-model-runner.h"
#include "gooseberrylift/internal/gooseberrylift-once-runner.h"
#include "gooseberrylift/internal/gooseberrylift-peer-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-pool-broker.h"
#include "gooseberrylift/internal/gooseberrylift-rest-store.h"
#include "gooseberrylift/internal/gooseberrylift-service-runner.h"
#include "gooseberrylift/internal/gooseberrylift-unreadable-object-recorder.h"

namespace gooseberrylift {

// Runs until SIGTERM, SIGINT or SIGQUIT, then drains and stops:
//
//   EntryHost host(settings);
//   const Outcome<void> ended = host.Run();
class EntryHost
{
public:
  explicit EntryHost(Settings aSettings);

  /// Serves with the configured number of threads until a planned stop is
  /// complete.
  /// @return an error when a port can never be listened on
  Outcome<void> Run();

private:
  void AddListeners();
  void LogStarted();
  void StartControllers();
  void AddRoutes();
  boost::asio::awaitable<void> WaitForStop();
  boost::asio::awaitable<void> DrainOrFail();
  boost::asio::awaitable<void> Drain();

  Settings settings_;
  boost::asio::io_context context_;
  // A member, so that a second signal does not kill the process while it is
  // stopping.
  boost::asio::signal_set stopSignals_;
  Blackboard board_;
  Metrics metrics_;
  UnreadableObjectRecorder unreadableObjects_{ metrics_ };
  HostMemory memory_;
  BurnRecorder burn_;
  HttpClient client_;
  RestStore store_;
  ConfigFollower configFollower_;
  PeerExchange peers_;
  EndpointTracker endpointTracker_;
  PoolBroker broker_;
  ModelRunner models_;
  ServiceRunner services_;
  OnceLedger onceLedger_;
  OnceRunner once_;
  JobRunner jobs_;
  JobApi jobApi_;
  CallerApi callerApi_;
  AdminApi adminApi_;
  ConfigApi configApi_;
  HttpServer callerServer_;
  HttpServer adminServer_;
  HttpServer peerServer_;
  Listeners listeners_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENTRY_HOST_H_
