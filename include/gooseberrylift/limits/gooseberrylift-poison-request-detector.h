// Detects and quarantines what requests have in common that crashes the
// endpoints that run them: the content of a request that its caller retries, or
// a part of the prompts of many requests. Without the quarantine each such
// request crashes two more engines and aborts everything that they are running.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_POISON_REQUEST_DETECTOR_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_POISON_REQUEST_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/limits/gooseberrylift-crash-evidence.h"
#include "gooseberrylift/limits/gooseberrylift-crash-history.h"
#include "gooseberrylift/limits/gooseberrylift-feature-arrivals.h"
#include "gooseberrylift/limits/gooseberrylift-quarantine-list.h"
#include "gooseberrylift/limits/gooseberrylift-request-features.h"
#include "gooseberrylift/limits/gooseberrylift-sound-features.h"

namespace gooseberrylift {

// A feature that is now quarantined, or no longer.
struct QuarantineChange
{
  std::string feature_;
  bool released_ = false;
  std::vector<std::string> endpoints_{}; // that crashed under it, in order
  bool fromPeer_ = false;
  ArrivalCounts arrivals_{}; // at this host
};

// Such a feature crashes each endpoint that begins to answer a request that has
// it. This tells it from the features of other requests on the same endpoints:
//
// - An answer that went on for longer than a crash takes clears the features of
//   its request of all crashes before it began.
// - A crash accuses only requests whose answers had just begun, or may have.
// - Endpoints that crash at the same moment, such as those of one rack, are a
//   single piece of evidence. The same applies to groups that crash together.
// - Crashes under a part that is quarantined accuse nothing else.
//
// Not thread-safe.
class PoisonRequestDetector
{
public:
  struct Options
  {
    // Crashes that quarantine a content. More are needed if a feature of other
    // requests was part of all of them, or if endpoints crashed that did not
    // run it.
    std::size_t contentThreshold_ = 2;
    std::size_t doubtfulContentThreshold_ = 3;
    // Crashes that quarantine a part, and the least number of contents among
    // them: a sound request that is retried may meet the next crash.
    std::size_t partThreshold_ = 3;
    std::size_t partContents_ = 2;
    // Crashes with this time between them happened at different moments,
    // however late they are noticed.
    std::chrono::milliseconds momentGap_{ 500 };
    // A crash with this many others about it that did not run a request is one
    // of a group that crashed for another reason.
    std::size_t groupSize_ = 2;
    std::chrono::milliseconds groupTime_{ 250 };
    // A feature that was sound before must fail for this long. Popular ones are
    // part of each crash, and the answers that clear them are on the way.
    std::chrono::milliseconds settleTime_{ 2'000 };
    // Parts that were part of the same crashes are not quarantined sooner than
    // this after the first one: an answer may yet clear one of them.
    std::chrono::milliseconds tieTime_{ 1'000 };
    std::size_t maxSound_ = 8'192;        // features remembered as sound
    std::size_t maxReportedCrashes_ = 24; // in a message to another host
    FeatureArrivals::Options arrivals_{};
    CrashHistory::Options history_{};
    QuarantineList::Options quarantine_{};
  };

  explicit PoisonRequestDetector(const Options& aOptions)
    : options_(aOptions)
    , arrivals_(aOptions.arrivals_)
    , sound_(aOptions.maxSound_)
    , history_(aOptions.history_)
    , quarantine_(aOptions.quarantine_)
  {
  }

  /// Records that a caller's request arrived at this host.
  void OnArrived(const RequestFeatures& aFeatures, WallTime aNow)
  {
    arrivals_.OnArrived(aFeatures, aNow);
  }

  /// Records that a request was answered for longer than a crash takes, or
  /// completely.
  /// @param aBegunAt when its answer began
  void OnAnswered(const RequestFeatures& aFeatures, WallTime aBegunAt);

  /// Records that the connection to an endpoint broke.
  void OnConnectionLost(const BrokenAttempt& aAttempt, WallTime aNow);

  /// Records the confirmation that an endpoint has just exited: its address
  /// refuses connections, or belongs to its next incarnation.
  /// @return whether that was not known before
  bool OnEndpointExit(const std::string& aEndpoint, WallTime aNow);

  /// Records that an endpoint still ran after connections to it broke.
  void OnEndpointAlive(const std::string& aEndpoint);

  /// Merges the quarantine entries of a peer.
  void OnPeer(const std::vector<QuarantineEntry>& aEntries);

  /// Merges the evidence of a peer.
  /// @return whether it accuses requests that were not accused before
  bool OnPeerEvidence(const CrashEvidence& aEvidence, WallTime aNow);

  /// Returns which features were quarantined or released since the last call.
  std::vector<QuarantineChange> TakeChanges();

  /// Returns the feature for which a request must be rejected; nothing if it
  /// may be sent.
  std::optional<std::string> FindQuarantined(const RequestFeatures& aFeatures,
                                             WallTime aNow) const;

  /// Returns whether a request has a part that never was known to be sound and
  /// was part of several crashes, confirmed or not.
  bool IsSuspect(const RequestFeatures& aFeatures) const;

  /// Returns whether an endpoint is confirmed to have exited.
  bool HasExited(const std::string& aEndpoint) const
  {
    return history_.HasExited(aEndpoint);
  }

  /// Returns whether a request had just begun at an endpoint when its
  /// connections broke.
  bool HasAccused(const std::string& aEndpoint) const
  {
    return history_.HasAccused(aEndpoint);
  }

  /// Returns the quarantine entries, which are sent to the peers.
  std::vector<QuarantineEntry> Entries(WallTime aNow) const
  {
    return quarantine_.Entries(aNow);
  }

  /// Returns the evidence that is sent to the peers; empty while nothing
  /// crashes.
  CrashEvidence Evidence(WallTime aNow) const;

  /// Drops what is outdated, and decides what had to wait. To be called
  /// periodically.
  void Sweep(WallTime aNow);

private:
  // The confirmed crashes that accuse a feature.
  struct Suspicion
  {
    std::vector<CrashHistory::Crashes::const_iterator> crashes_;
    std::set<std::string> contents_;
    bool wasSound_ = false; // before these crashes
  };
  using Suspicions = std::map<std::string, Suspicion>; // by feature

  void Clear(const std::string& aFeature, WallTime aBegunAt);
  void KeepMostTelling(std::vector<CrashReport>& aReports, WallTime aNow) const;
  bool IsClearedOf(const std::string& aFeature,
                   const EndpointCrash& aCrash) const;
  bool IsExplained(const EndpointCrash& aCrash, WallTime aNow) const;
  Suspicions CollectSuspicions(WallTime aNow) const;
  bool IsInGroup(const std::string& aFeature,
                 const EndpointCrash& aCrash) const;
  std::size_t CountMoments(const std::string& aFeature,
                           const Suspicion& aSuspicion) const;
  bool IsShared(const std::string& aContent, const Suspicion& aSuspicion) const;
  bool IsProven(const std::string& aFeature, const Suspicion& aSuspicion) const;
  std::vector<Suspicions::const_iterator> FindProven(const Suspicions& aAll,
                                                     WallTime aNow) const;
  void Decide(WallTime aNow);
  void Quarantine(const std::string& aFeature,
                  const Suspicion& aSuspicion,
                  WallTime aNow);

  Options options_;
  FeatureArrivals arrivals_;
  SoundFeatures sound_;
  CrashHistory history_;
  QuarantineList quarantine_;
  std::vector<QuarantineChange> changes_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_POISON_REQUEST_DETECTOR_H_
