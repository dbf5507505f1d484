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
// - A part is quarantined only where other requests arrive without it. What all
//   requests have is part of each crash, whatever the cause, and rejecting it
//   rejects all of them.
// - Of two parts of the same crashes, the one that fewer requests have is to
//   blame.
// - A part that many requests have is part of many crashes by chance. Deciding
//   about it takes longer, and the decision is verified afterwards.
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
    // Requests without a part that must have arrived at this host before it
    // quarantines the part, and their least share of all requests.
    std::uint64_t minRequestsWithoutPart_ = 5;
    double minShareWithoutPart_ = 0.1;
    // A part explains the crashes of another one if it is part of this share of
    // them, since some reports are lost, and not by chance.
    double explainedShare_ = 2.0 / 3;
    // Below this probability, a part is not part of its crashes by chance.
    double maxCoincidence_ = 0.05;
    // The quarantine of a part that at least this share of the requests have is
    // verified by single requests: first after this time, then after intervals
    // that grow by the factor.
    double minProbedShare_ = 0.2;
    std::chrono::milliseconds firstProbe_{ 2'000 };
    int probeIntervalGrowth_ = 4;
    // A probe that could not be sent, as while all endpoints are down, is
    // repeated after this time.
    std::chrono::milliseconds unsentProbeRetry_{ 500 };
    // Crashes with this time between them happened at different moments,
    // however late they are noticed.
    std::chrono::milliseconds momentGap_{ 500 };
    // A crash with this many others about it that did not run a request is one
    // of a group that crashed for another reason.
    std::size_t groupSize_ = 2;
    std::chrono::milliseconds groupTime_{ 250 };
    // A feature that was sound before, or may be part of its crashes by chance,
    // must fail for this long. Popular ones are part of each crash, and the
    // answers that clear them are on the way.
    std::chrono::milliseconds settleTime_{ 2'000 };
    // Parts that may explain each other's crashes are not quarantined sooner
    // than this after the first one: an answer may yet clear one of them. The
    // next one then needs crashes of its own.
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
  void OnPeer(const std::vector<QuarantineEntry>& aEntries, WallTime aNow);

  /// Merges the evidence of a peer.
  /// @return whether it accuses requests that were not accused before
  bool OnPeerEvidence(const CrashEvidence& aEvidence, WallTime aNow);

  /// Returns which features were quarantined or released since the last call.
  std::vector<QuarantineChange> TakeChanges();

  /// Returns the feature for which a request must be rejected; nothing if it
  /// may be sent.
  std::optional<std::string> FindQuarantined(const RequestFeatures& aFeatures,
                                             WallTime aNow) const;

  /// Decides whether to send a request although it has a quarantined part, to
  /// find out whether the part still crashes endpoints. To be asked at one host
  /// of the fleet; the request must not be retried.
  /// @return the feature to be verified; nothing if it must not be sent
  std::optional<std::string> TryProbe(const RequestFeatures& aFeatures,
                                      WallTime aNow);

  /// Records that no endpoint ran a probe, which has verified nothing. It is
  /// repeated sooner than one that ran.
  /// @param aSent whether an endpoint received it, and rejected it
  void OnProbeNotRun(const std::string& aFeature, bool aSent, WallTime aNow);

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
    std::uint64_t accused_ = 0; // requests, once for each crash
    bool wasSound_ = false;     // before these crashes
  };
  using Suspicions = std::map<std::string, Suspicion>; // by feature
  using CrashList = std::vector<CrashHistory::Crashes::const_iterator>;

  // When the quarantine of a part is verified next.
  struct ProbeSchedule
  {
    WallTime next_{};
    std::chrono::milliseconds interval_{ 0 };
  };

  void Clear(const std::string& aFeature, WallTime aBegunAt);
  void KeepMostTelling(std::vector<CrashReport>& aReports, WallTime aNow) const;
  bool IsClearedOf(const std::string& aFeature,
                   const EndpointCrash& aCrash) const;
  bool IsExplained(const EndpointCrash& aCrash, WallTime aNow) const;
  CrashList CollectCrashes(WallTime aNow) const;
  Suspicions CollectSuspicions(const CrashList& aCrashes) const;
  bool IsInGroup(const std::string& aFeature,
                 const EndpointCrash& aCrash) const;
  std::size_t CountMoments(const std::string& aFeature,
                           const Suspicion& aSuspicion) const;
  bool IsShared(const std::string& aContent, const Suspicion& aSuspicion) const;
  bool IsProven(const std::string& aFeature,
                const Suspicion& aSuspicion,
                const CrashList& aAll,
                WallTime aNow) const;
  bool IsCoincidence(const std::string& aPart,
                     const CrashList& aCrashes,
                     std::size_t aAccusing) const;
  bool HasRequestsWithout(const std::string& aPart) const;
  std::uint64_t PopularityOf(const Suspicions::value_type& aPart) const;
  double ChanceOf(const std::string& aPart, const EndpointCrash& aCrash) const;
  bool Explains(const Suspicions::value_type& aOne,
                const Suspicion& aOther) const;
  void Displace(const std::string& aPart, WallTime aNow);
  // Proven features to decide about.
  struct Verdict
  {
    std::vector<Suspicions::const_iterator> features_;
    bool contested_ = false; // several parts may explain the same crashes
  };
  Verdict FindProven(const Suspicions& aAll,
                     const CrashList& aCrashes,
                     WallTime aNow) const;
  bool IsRarer(const Suspicions::value_type& aPart,
               const Suspicions::value_type& aThan) const;
  void BlameRarerPart(Verdict& aVerdict,
                      const Suspicions& aAll,
                      const CrashList& aCrashes,
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
  // Parts whose crashes a rarer part explained when it was quarantined. Their
  // earlier crashes don't accuse them any more.
  std::map<std::string, WallTime> displaced_;
  std::map<std::string, ProbeSchedule> probes_; // by quarantined part
  std::vector<QuarantineChange> changes_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_POISON_REQUEST_DETECTOR_H_
