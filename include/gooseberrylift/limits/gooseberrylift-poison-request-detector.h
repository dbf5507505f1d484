// Detects and quarantines poison requests: requests whose content crashes the
// endpoints that run them. A caller may retry such a request at any host, and
// without the quarantine each retry crashes two more engines and aborts
// everything that they are running.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_POISON_REQUEST_DETECTOR_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_POISON_REQUEST_DETECTOR_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"

namespace gooseberrylift {

/// Returns a hash of a request that is the same for each of its retries, as 16
/// hexadecimal digits.
std::string RequestFingerprint(std::string_view aTarget,
                               std::string_view aCaller,
                               std::string_view aBody);

// Counts, for each request, the endpoints that crashed while they ran it. A
// lost connection alone is no evidence of a crash: responses also get lost
// while the endpoint keeps running, and a harmless request that loses two of
// them must not be rejected for minutes. A lost connection therefore counts
// only once the endpoint is confirmed to have exited at about the same time.
//
// Two such endpoints quarantine a request. The crash of one aborts all requests
// that it runs and doesn't tell which one caused it, but a second crash under
// the same request is rarely a coincidence. If several requests share the same
// two crashes, a third one identifies the cause. Quarantine entries are sent to
// all hosts. Not thread-safe.
class PoisonRequestDetector
{
public:
  using WallTime = std::chrono::system_clock::time_point;

  struct Options
  {
    // Endpoints that must crash under a request before it is quarantined.
    std::size_t crashThreshold_ = 2;
    // The same threshold if another request ran on all of these endpoints too.
    std::size_t sharedCrashThreshold_ = 3;
    // The crashes must fall within this time. Crashed endpoints are back after
    // some seconds, and callers retry at once.
    std::chrono::seconds observationWindow_{ 30 };
    // Maximum time between a lost connection and the confirmation that the
    // endpoint exited, in either order: a refused connection confirms it within
    // 0.1 s, a restart after some seconds.
    std::chrono::seconds confirmationWindow_{ 6 };
    // Long, because a retry with the same content would crash endpoints again;
    // the caller has to change the request.
    std::chrono::seconds quarantineTime_{ 600 };
    // Fingerprints kept; the oldest are evicted first.
    std::size_t maxEntries_ = 256;
  };

  explicit PoisonRequestDetector(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records that the connection to an endpoint broke while it ran a request.
  /// @return true if the request is quarantined as a result
  bool OnConnectionLost(const std::string& aFingerprint,
                        const std::string& aEndpoint,
                        WallTime aNow);

  /// Records the confirmation that an endpoint has just exited: its address
  /// refuses connections, or it has restarted.
  /// @return the fingerprints of the requests that are quarantined as a result
  std::vector<std::string> OnEndpointExit(const std::string& aEndpoint,
                                          WallTime aNow);

  /// Returns whether a request must be rejected.
  bool IsQuarantined(const std::string& aFingerprint, WallTime aNow) const;

  /// Merges the quarantine entries of a peer.
  void OnPeer(const std::vector<QuarantineEntry>& aEntries);

  /// Returns the current quarantine entries, which are sent to the peers.
  std::vector<QuarantineEntry> Entries(WallTime aNow) const;

private:
  struct LostConnection
  {
    WallTime at_{};
    bool crashed_ = false; // the endpoint is confirmed to have exited
  };
  struct Suspect
  {
    std::map<std::string, LostConnection> lostConnections_; // by endpoint
    WallTime firstLost_{};
  };

  std::set<std::string> ConfirmedCrashes(const Suspect& aSuspect) const;
  bool HasSameCrashes(const std::string& aFingerprint,
                      const std::set<std::string>& aCrashed) const;
  bool QuarantineIfConfirmed(const std::string& aFingerprint, WallTime aNow);

  Options options_;
  std::map<std::string, Suspect> suspects_;    // by fingerprint
  std::map<std::string, WallTime> lastExits_;  // by endpoint
  std::map<std::string, WallTime> quarantine_; // by fingerprint, expiry
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_POISON_REQUEST_DETECTOR_H_
