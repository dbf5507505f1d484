// Finds requests that end the endpoints which run them. The load it answers: a
// request whose content crashes engines and which its caller sends again and
// again, to any host. Without it each return costs two more engines, and with
// them all that they were at work on.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_SUSPECTS_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_SUSPECTS_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"

namespace gooseberrylift {

/// Gives the fingerprint of a request: what is the same each time it comes.
std::string FingerprintOf(std::string_view aTarget,
                          std::string_view aCaller,
                          std::string_view aBody);

// Counts the endpoints that ended while they ran a request. That an endpoint
// broke off is no proof of its end: answers get lost while it lives, and a good
// request that lost two of them must not be refused for minutes. So a broken
// request counts against an endpoint only once that has been shown to have
// ended at about that time. Two such endpoints quarantine a request: the crash
// of one breaks off all that it runs and says nothing of any of them, but that
// the next one ends as well just then is rare. Where several requests share the
// same two, which all fell with the guilty one, the third end decides. Entries
// go to all hosts. Not thread-safe.
class CrashSuspects
{
public:
  using WallTime = std::chrono::system_clock::time_point;

  struct Options
  {
    std::size_t endpoints_ = 2; // that a request must have ended
    // The same where other requests were broken off at the same endpoints.
    std::size_t endpointsIfShared_ = 3;
    // Within this time. Crashed endpoints are back after some seconds, and
    // callers send again at once.
    std::chrono::seconds within_{ 30 };
    // Between a break and the proof of the end, in either order: a refused
    // connection shows it within 0.1 s, a new start after some seconds.
    std::chrono::seconds proofWithin_{ 6 };
    // A request does not get better by itself; its sender has to change it.
    std::chrono::seconds quarantine_{ 600 };
    std::size_t most_ = 256; // fingerprints kept; the oldest make room
  };

  explicit CrashSuspects(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Notes that an endpoint broke off a request.
  /// @return true when that puts the request under quarantine
  bool OnBroken(const std::string& aFingerprint,
                const std::string& aEndpoint,
                WallTime aNow);

  /// Notes a proof that an endpoint ended a moment ago: nobody listens at its
  /// address, or it has started again.
  /// @return the requests that this puts under quarantine
  std::vector<std::string> OnEnded(const std::string& aEndpoint, WallTime aNow);

  /// Says whether a request is to be refused.
  bool IsQuarantined(const std::string& aFingerprint, WallTime aNow) const;

  /// Takes in what a peer has under quarantine.
  void OnPeer(const std::vector<QuarantineEntry>& aEntries);

  /// Gives what is under quarantine, for the peers.
  std::vector<QuarantineEntry> Entries(WallTime aNow) const;

private:
  struct Break
  {
    WallTime at_{};
    bool ended_ = false; // the endpoint has been shown to have ended
  };
  struct Suspect
  {
    std::map<std::string, Break> breaks_; // by endpoint
    WallTime first_{};
  };

  std::set<std::string> EndedBy(const Suspect& aSuspect) const;
  bool IsShared(const std::string& aFingerprint,
                const std::set<std::string>& aEnded) const;
  bool Judge(const std::string& aFingerprint, WallTime aNow);

  Options options_;
  std::map<std::string, Suspect> suspects_;    // by fingerprint
  std::map<std::string, WallTime> ended_;      // by endpoint, when proven last
  std::map<std::string, WallTime> quarantine_; // by fingerprint, until when
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_SUSPECTS_H_
