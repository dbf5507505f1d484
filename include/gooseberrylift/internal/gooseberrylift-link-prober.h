// Follows the links of this host to the endpoints of each service, and probes
// endpoints when the links may be lost.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LINK_PROBER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LINK_PROBER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-endpoint-access.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"
#include "gooseberrylift/routing/gooseberrylift-link-monitor.h"

namespace gooseberrylift {

// Sends no probes while the links are up. Thread-safe.
class LinkProber
{
public:
  struct Parts
  {
    HttpClient& client_;
    const WireDialect& dialect_;
    EndpointAccess& access_;
    Metrics& metrics_;
    boost::asio::any_io_executor executor_;
    // Returns whether an endpoint is known to have exited, so that its silence
    // shows nothing about the links.
    std::function<bool(const ListedEndpoint& aEndpoint)> hasExited_;
    // Called when the links to a service were found to be lost or up again.
    std::function<void(const std::string& aService, bool aLost)> onChanged_;
  };

  explicit LinkProber(Parts aParts)
    : parts_(std::move(aParts))
  {
  }

  /// Records that a connection to an endpoint could not be established, or that
  /// it sent no response to a request.
  void OnFailed(const ListedEndpoint& aEndpoint, LinkFailure aFailure);

  /// Records that a connection was established or a response received.
  void OnSucceeded(const ListedEndpoint& aEndpoint, LinkFailure aExpected);

  LinkState StateOf(const std::string& aService) const;

  /// Returns whether no endpoint of a service answers this host.
  bool IsCutOff(const std::string& aService) const;

  /// Returns the services whose links are lost.
  std::vector<std::string> Lost() const;

private:
  // The probes of a round, which end independently of each other.
  struct Round
  {
    ProbeResult result_;
    std::size_t ended_ = 0;
  };

  boost::asio::awaitable<void> Follow(std::string aService);
  boost::asio::awaitable<ProbeResult> ProbeSample(std::string aService);
  boost::asio::awaitable<Outcome<HttpResponse>> SendProbe(std::string aAddress);
  boost::asio::awaitable<void> Probe(ListedEndpoint aEndpoint,
                                     std::shared_ptr<Round> aRound);
  void SuspectOthers(const std::string& aService);
  void LogChange(const std::string& aService,
                 const ProbeResult& aResult,
                 LinkState aState) const;

  Parts parts_;
  mutable std::mutex mutex_; // guards monitor_
  LinkMonitor monitor_{ LinkMonitor::Options{} };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LINK_PROBER_H_
