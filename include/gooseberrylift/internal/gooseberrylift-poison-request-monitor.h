// Watches for requests that end the endpoints which run them, and finds out
// whether an endpoint that broke off has ended or lives.

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

namespace gooseberrylift {

// Safe from any thread. It must outlive what it spawned on its executor.
class PoisonRequestMonitor
{
public:
  struct Parts
  {
    HttpClient& client_;
    boost::asio::any_io_executor executor_;
    // The other hosts are to know at once which requests are refused.
    std::function<void()> notifyPeers_;
  };

  explicit PoisonRequestMonitor(Parts aParts);

  /// Notes that an endpoint broke off a request, and looks soon after whether
  /// it still listens.
  void OnConnectionLost(const std::string& aFingerprint,
                        const ListedEndpoint& aEndpoint);

  /// Notes that an endpoint has ended: it has started again.
  void OnEndpointExit(const std::string& aEndpoint);

  /// Says whether a request is to be refused.
  bool IsQuarantined(const std::string& aFingerprint);

  /// Takes in what a peer refuses.
  void OnPeer(const std::vector<QuarantineEntry>& aEntries);

  /// Gives what is refused, for the peers.
  std::vector<QuarantineEntry> Entries();

private:
  boost::asio::awaitable<void> Look(ListedEndpoint aEndpoint);
  void Announce(const std::vector<std::string>& aFingerprints,
                const std::string& aEndpoint);

  Parts parts_;
  std::mutex mutex_; // guards what follows
  PoisonRequestDetector suspects_{ PoisonRequestDetector::Options{} };
  std::set<std::string> looking_; // endpoints that are being looked at
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POISON_REQUEST_MONITOR_H_
