// Observes how fast each endpoint of a service works, compared to what its
// engine profile predicts. Engines of one service may differ in speed, and an
// engine may be slowed for seconds without being silent or failing; with the
// profile alone, a slow engine looks as good as the others.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_PACE_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_PACE_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/routing/gooseberrylift-engine-profile.h"

namespace gooseberrylift {

struct EndpointLoad;

// Bounds of the predicted duration of some work at usual speed. They differ by
// the work of other requests, of which the prediction doesn't know how much
// falls into the same passes.
struct NominalTime
{
  std::chrono::microseconds shortest_{ 0 }; // 0: not predicted
  std::chrono::microseconds longest_{ 0 };
};

/// Returns the bounds of the time between two events of a stream.
/// @param aLoad load of the engine at the first of the two
NominalTime NominalGap(const EngineProfile& aProfile,
                       const EndpointLoad& aLoad);

// The pace of an endpoint is the observed duration of its work as a percentage
// of the predicted one: 100 is as predicted, 200 half as fast. Passes are
// lengthened by prefill that this host doesn't know of yet, so the pace is a
// low quantile of the latest observations: passes without prefill are slow only
// at a slow engine. A host that is slow itself sees all endpoints slow, so the
// pace is relative to that of the host's faster endpoints. Not thread-safe.
class EndpointPace
{
public:
  struct Options
  {
    // Observations after which a pace is reported. With fewer, a single
    // unknown prefill counts as a slow engine.
    std::size_t minObservations_ = 2;
    // Time in which the excess of the latest observed pace halves. An endpoint
    // that is avoided is no longer observed; it is tried again when its pace is
    // within the tolerance, the later the slower it was.
    std::chrono::milliseconds halfLife_{ 2'000 };
    // Age at which observations are forgotten altogether.
    std::chrono::milliseconds maxAge_{ 8'000 };
    // Observations that are older than the latest one by more than this don't
    // count beside it.
    std::chrono::milliseconds maxSpread_{ 1'500 };
    // The same in the comparison with the host's other endpoints, where few
    // are observed at any time.
    std::chrono::milliseconds maxBaselineAge_{ 5'000 };
    // Endpoints without which the host can't tell whether an endpoint is slow
    // or the host itself.
    std::size_t minBaselineEndpoints_ = 2;
  };

  explicit EndpointPace(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records how long an endpoint took for some work. An observation that
  /// doesn't tell a slow endpoint from a usual one is ignored.
  void OnObserved(const std::string& aEndpoint,
                  const NominalTime& aNominal,
                  std::chrono::microseconds aObserved,
                  TimePoint aNow);

  /// Records how long several endpoints took for work that is complete when the
  /// slowest has finished its part. If it took too long, only the endpoints
  /// without a recent observation at usual pace come into question.
  void OnSharedWorkObserved(const std::vector<std::string>& aEndpoints,
                            const NominalTime& aNominal,
                            std::chrono::microseconds aObserved,
                            TimePoint aNow);

  /// Returns the pace of an endpoint in percent, exactly kUsualPercent within
  /// the tolerance; 0 without recent observations.
  int PercentOf(const std::string& aEndpoint, TimePoint aNow) const;

  /// Returns whether an endpoint was observed so often that this host believes
  /// its own observation without that of another host.
  bool IsCertain(const std::string& aEndpoint) const;

  /// Returns the endpoints observed as slow.
  std::vector<std::string> SlowEndpoints(TimePoint aNow) const;

  /// Returns how slow this host sees its faster endpoints, at least 1.
  double HostRatio() const { return std::max(baseline_, 1.0); }

  /// Returns whether any endpoint may be observed as slow; cheap.
  bool MayHaveSlow(TimePoint aNow) const { return aNow < slowUntil_; }

  /// Discards the observations of an endpoint that has restarted.
  void OnRestarted(const std::string& aEndpoint);

  /// Removes expired observations; to be called periodically.
  void Sweep(TimePoint aNow);

  static constexpr int kUsualPercent = 100;
  // Paces up to this count as usual: passes vary, and messages are late.
  static constexpr int kTolerancePercent = 140;
  // Shorter work says more about the network and the host than the endpoint.
  static constexpr std::chrono::milliseconds kMinWork{ 10 };
  // Limits what a false observation can do.
  static constexpr int kMaxPercent = 800;

private:
  static constexpr std::size_t kObservations = 3;
  struct Observation
  {
    double ratio_ = 0;
    TimePoint at_{};
    bool isLong_ = false; // longer than any unknown prefill
  };
  struct History
  {
    std::array<Observation, kObservations> latest_{};
    std::size_t count_ = 0; // recorded so far, at least 1

    TimePoint LatestAt() const
    {
      return latest_.at((count_ - 1) % kObservations).at_;
    }
  };

  void Record(const std::string& aEndpoint, Observation aObserved);
  std::optional<double> RatioOf(const History& aHistory,
                                std::chrono::milliseconds aMaxAge,
                                TimePoint aNow) const;
  std::optional<double> KnownRatioOf(const std::string& aEndpoint,
                                     TimePoint aNow) const;
  void UpdateBaseline(TimePoint aNow);

  Options options_;
  std::unordered_map<std::string, History> histories_; // by endpoint
  double baseline_ = 1; // ratio of this host's faster endpoints
  bool isBaselineKnown_ = false;
  TimePoint baselineAt_{};
  TimePoint slowUntil_{};
};

// Combines the paces that several hosts report of one endpoint, so that a host
// that is slow itself or reports nonsense is outvoted.
class PaceVotes
{
public:
  /// Adds a reported pace; 0 is no vote.
  /// @param aWeight number of votes
  void Add(int aPercent, int aWeight = 1);

  /// Returns whether any vote is for a slow endpoint.
  bool HasSlow() const { return slow_ > 0; }

  /// Returns the median, of two medians the one nearer to the usual pace; 0
  /// without votes.
  int Median() const;

private:
  static constexpr std::size_t kMaxVotes = 32; // bounds the work
  std::array<int, kMaxVotes> votes_{};
  std::size_t count_ = 0;
  int slow_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_PACE_H_
