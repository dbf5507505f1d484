// Records which endpoints crashed, and which requests had just begun there.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_HISTORY_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_HISTORY_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gooseberrylift/limits/gooseberrylift-crash-evidence.h"

namespace gooseberrylift {

// An attempt whose connection to its endpoint broke.
struct BrokenAttempt
{
  std::string endpoint_; // its incarnation
  RequestFeatures features_;
  // Whether its answer had just begun, or may have; otherwise it did not crash
  // the endpoint.
  bool justBegun_ = false;
  WallTime aliveAt_{}; // when the endpoint was last known to run
};

// What is known of one endpoint whose connections broke.
struct EndpointCrash
{
  WallTime brokenAt_{};
  WallTime aliveAt_{};
  bool confirmed_ = false; // the endpoint exited
  std::vector<RequestFeatures> accused_;

  /// Returns when the endpoint exited. A connection may have broken earlier for
  /// a reason of its own.
  WallTime At() const { return std::max(brokenAt_, aliveAt_); }

  /// Returns whether a request with a feature had just begun there.
  bool Accuses(const std::string& aFeature) const;
};

// A lost connection alone is no evidence of a crash: responses also get lost
// while the endpoint keeps running. It counts only once the endpoint is
// confirmed to have exited at about the same time.
//
// Each host sees a part of the crashes, and of each crash its own requests, so
// that hosts exchange what they have recorded. Not thread-safe.
class CrashHistory
{
public:
  using Crashes = std::map<std::string, EndpointCrash>; // by incarnation

  struct Options
  {
    // Crashed endpoints are back after some seconds, and callers retry at once.
    std::chrono::seconds window_{ 30 };
    // Maximum time between a lost connection and the confirmation that the
    // endpoint exited, in either order: a refused connection confirms it within
    // 0.1 s, the start of the next incarnation after some seconds.
    std::chrono::seconds confirmationWindow_{ 6 };
    // A report is sent to other hosts until it has this age, and is accepted
    // from hosts whose clocks differ by this at most.
    std::chrono::seconds reportTime_{ 5 };
    std::chrono::seconds maxClockSkew_{ 1 };
    // Bounds; the oldest crashes are evicted first.
    std::size_t maxCrashes_ = 256;
    std::size_t maxAccused_ = 16; // requests per crash
  };

  explicit CrashHistory(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records that the connection to an endpoint broke.
  void OnConnectionLost(const BrokenAttempt& aAttempt, WallTime aNow);

  /// Records the confirmation that an endpoint has just exited.
  /// @return whether that was not known before
  bool OnExit(const std::string& aEndpoint, WallTime aNow);

  /// Records that an endpoint still ran after connections to it broke.
  void OnAlive(const std::string& aEndpoint);

  /// Merges a crash that another host has recorded.
  /// @return whether this accuses a request that was not accused before
  bool OnReport(const CrashReport& aReport, WallTime aNow);

  /// Returns whether an endpoint is confirmed to have exited.
  bool HasExited(const std::string& aEndpoint) const;

  /// Returns whether a request had just begun at an endpoint when its
  /// connections broke.
  bool HasAccused(const std::string& aEndpoint) const;

  /// Returns all crashes, confirmed or not, of the last time.
  const Crashes& All() const { return crashes_; }

  /// Returns the confirmed crashes that are recent enough to be sent to other
  /// hosts.
  std::vector<CrashReport> Reports(WallTime aNow) const;

  /// Drops what is outdated.
  void Sweep(WallTime aNow);

private:
  EndpointCrash& RecordOf(const std::string& aEndpoint, WallTime aAt);
  bool Accuse(EndpointCrash& aCrash, const RequestFeatures& aRequest) const;
  void Evict();

  Options options_;
  Crashes crashes_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_HISTORY_H_
