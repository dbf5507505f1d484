// Detects poison requests, which crash the endpoints that run them. After a
// lost connection, checks whether the endpoint has exited or is still running.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POISON_REQUEST_MONITOR_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POISON_REQUEST_MONITOR_H_

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/limits/gooseberrylift-poison-request-detector.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"
#include "gooseberrylift/routing/gooseberrylift-link-monitor.h"

namespace gooseberrylift {

// Thread-safe. Must outlive the tasks that it spawns on its executor.
class PoisonRequestMonitor
{
public:
  struct Parts
  {
    HttpClient& client_;
    boost::asio::any_io_executor executor_;
    // Called when a request has been quarantined, so that the peers learn of it
    // at once.
    std::function<void()> notifyPeers_;
    // Returns the state of this host's links to a service. An endpoint behind a
    // lost link looks as if it had exited.
    std::function<LinkState(const std::string& aService)> linkState_;
  };

  explicit PoisonRequestMonitor(Parts aParts);

  /// Records that the connection to an endpoint broke while it ran a request,
  /// and checks shortly afterwards whether the endpoint still listens.
  void OnConnectionLost(const std::string& aFingerprint,
                        const ListedEndpoint& aEndpoint);

  /// Records that an endpoint has exited, as its restart shows.
  void OnEndpointExit(const std::string& aEndpoint);

  /// Returns whether a request must be rejected.
  bool IsQuarantined(const std::string& aFingerprint);

  /// Merges the quarantine entries of a peer.
  void OnPeer(const std::vector<QuarantineEntry>& aEntries);

  /// Returns the current quarantine entries, which are sent to the peers.
  std::vector<QuarantineEntry> Entries();

private:
  boost::asio::awaitable<void> CheckForExit(ListedEndpoint aEndpoint);
  void ReportQuarantined(const std::vector<std::string>& aFingerprints,
                         const std::string& aEndpoint);

  Parts parts_;
  std::mutex mutex_; // guards the members below
  PoisonRequestDetector detector_{ PoisonRequestDetector::Options{} };
  std::set<std::string> beingChecked_; // endpoints with a pending check
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POISON_REQUEST_MONITOR_H_
