// Detects poison requests, which crash the endpoints that run them. After a
// lost connection, checks whether the endpoint has exited or is still running.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POISON_REQUEST_MONITOR_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POISON_REQUEST_MONITOR_H_

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
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
    Metrics& metrics_;
    // Called when this host has evidence or a quarantine entry that its peers
    // must learn of at once.
    std::function<void()> notifyPeers_;
    // Returns the state of this host's links to a service. An endpoint behind a
    // lost link looks as if it had exited.
    std::function<LinkState(const std::string& aService)> linkState_;
    // Returns whether this host is the one that verifies quarantines.
    std::function<bool()> verifiesQuarantines_;
  };

  explicit PoisonRequestMonitor(Parts aParts);

  /// Records that a caller's request arrived at this host.
  void OnArrived(const RequestFeatures& aFeatures);

  /// Records that a request was answered for longer than a crash takes, or
  /// completely.
  /// @param aSinceBegin time since its answer began
  void OnAnswered(const RequestFeatures& aFeatures,
                  std::chrono::milliseconds aSinceBegin);

  /// Records that the connection to an endpoint broke, and checks shortly
  /// afterwards whether the endpoint still runs.
  /// @param aJustBegun whether the request's answer had just begun, or may have
  /// @param aSinceAlive time since the endpoint was last known to run
  void OnConnectionLost(const RequestFeatures& aFeatures,
                        const ListedEndpoint& aEndpoint,
                        bool aJustBegun,
                        std::chrono::milliseconds aSinceAlive);

  /// Records a new or changed endpoint entry. An endpoint whose address belongs
  /// to another incarnation has exited.
  void OnListed(const ListedEndpoint& aEndpoint);

  /// Records that the entry of an endpoint was removed.
  void OnUnlisted(const std::string& aEndpoint);

  /// Returns the feature for which a request must be rejected, if any.
  std::optional<std::string> FindQuarantined(const RequestFeatures& aFeatures);

  /// Decides whether to send a request once although it is quarantined, to
  /// verify the quarantine.
  /// @return the feature to be verified; nothing if it must not be sent
  std::optional<std::string> TryProbe(const RequestFeatures& aFeatures,
                                      const std::string& aRequestId);

  /// Records that no endpoint ran a probe.
  /// @param aSent whether an endpoint received it, and rejected it
  void OnProbeNotRun(const std::string& aFeature, bool aSent);

  /// Returns whether to send a request only once it is known which of the
  /// endpoints whose connections broke have crashed.
  bool MustAwaitCheck(const RequestFeatures& aFeatures);

  /// Returns whether an endpoint is confirmed to have exited.
  bool HasExited(const ListedEndpoint& aEndpoint);

  /// Merges the quarantine entries of a peer.
  void OnPeer(const std::vector<QuarantineEntry>& aEntries);

  /// Merges the evidence of a peer.
  /// @param aForward whether to pass on at once what is new
  void OnPeerEvidence(const CrashEvidence& aEvidence, bool aForward);

  /// Returns the quarantine entries, which are sent to the peers.
  std::vector<QuarantineEntry> Entries();

  /// Returns the evidence that is sent to the peers.
  CrashEvidence Evidence();

  /// Drops what is outdated; to be called periodically.
  void Sweep();

private:
  // An endpoint whose connections broke and that may have exited.
  struct Watched
  {
    ListedEndpoint listed_;
    bool checkPending_ = false;
    WallTime since_{};
  };

  boost::asio::awaitable<void> CheckForExit(ListedEndpoint aEndpoint);
  boost::asio::awaitable<LinkState> ResolveLinkState(std::string aService);
  void OnEndpointExit(const std::string& aEndpoint, const char* aProof);
  void ApplyChanges();
  void NotifyPeersAfter(std::chrono::milliseconds aDelay);
  boost::asio::awaitable<void> NotifyPeers(TimePoint aWhen);

  Parts parts_;
  std::mutex mutex_; // guards the members below
  PoisonRequestDetector detector_{ PoisonRequestDetector::Options{} };
  std::map<std::string, Watched> watched_; // by incarnation
  std::size_t pendingChecks_ = 0;
  const TimePoint start_ = TimerService::Now();
  bool notifies_ = false; // the peers are about to be notified
  TimePoint lastNotified_{};
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POISON_REQUEST_MONITOR_H_
