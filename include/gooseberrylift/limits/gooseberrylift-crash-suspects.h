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

// Counts the endpoints that broke off while they ran a request. Two different
// ones quarantine it: a crash of one endpoint breaks off all that it runs and
// says nothing of any of them, but that the next endpoint crashes as well just
// then is rare. Entries go to all hosts. Not thread-safe.
class CrashSuspects
{
public:
  using WallTime = std::chrono::system_clock::time_point;

  struct Options
  {
    std::size_t endpoints_ = 2; // that a request must have ended
    // Within this time. Crashed endpoints are back after some seconds, and
    // callers send again at once.
    std::chrono::seconds within_{ 30 };
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

  /// Says whether a request is to be refused.
  bool IsQuarantined(const std::string& aFingerprint, WallTime aNow) const;

  /// Takes in what a peer has under quarantine.
  void OnPeer(const std::vector<QuarantineEntry>& aEntries);

  /// Gives what is under quarantine, for the peers.
  std::vector<QuarantineEntry> Entries(WallTime aNow) const;

private:
  struct Suspect
  {
    std::set<std::string> endpoints_;
    WallTime first_{};
  };

  Options options_;
  std::map<std::string, Suspect> suspects_;
  std::map<std::string, WallTime> quarantine_; // until when
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_SUSPECTS_H_
