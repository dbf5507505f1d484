// Error-budget burn rates by team: counts over sliding time windows in bounded
// memory, merged across hosts, and the rates computed from them.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_BURN_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_BURN_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "gooseberrylift/gooseberrylift-config.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-prompt-band.h"

namespace gooseberrylift {

// Short windows detect a fast burn early; long windows detect a slow burn
// reliably. The last window is also the budget period, because hosts keep no
// counts for longer than that.
inline constexpr std::array<std::chrono::minutes, 4> kBurnWindows = {
  std::chrono::minutes(5),
  std::chrono::minutes(30),
  std::chrono::minutes(60),
  std::chrono::minutes(360)
};

enum class BurnObjective
{
  kFirstToken, // the first token arrives within the bound of its prompt band
  kSuccess     // the response completes within the deadline
};

/// Returns an objective's name: "first-token" or "success".
const char* NameOf(BurnObjective aObjective);

// The properties of a finished request that the objectives depend on.
struct BurnSample
{
  std::string team_;
  std::string service_;
  std::uint64_t promptTokens_ = 0;
  std::optional<std::chrono::microseconds> firstToken_; // empty: none arrived
  bool succeeded_ = false;
};

// Identifies one series of counts.
struct BurnKey
{
  std::string team_;
  std::string service_;
  std::size_t band_ = 0;
  BurnObjective objective_ = BurnObjective::kSuccess;

  bool operator<(const BurnKey& aOther) const
  {
    return std::tie(team_, service_, band_, objective_) <
           std::tie(
             aOther.team_, aOther.service_, aOther.band_, aOther.objective_);
  }
  bool operator==(const BurnKey&) const = default;
};

// Requests that met and that missed an objective.
struct BurnCounts
{
  std::uint64_t met_ = 0;
  std::uint64_t missed_ = 0;

  bool operator==(const BurnCounts&) const = default;
};

// Counts per window, in the order of kBurnWindows.
using BurnWindowCounts = std::array<BurnCounts, kBurnWindows.size()>;
using BurnTally = std::map<BurnKey, BurnWindowCounts>;

/// Adds another host's counts. The sums are integers, so the result is exact
/// and does not depend on the order of the hosts.
void MergeTally(BurnTally& aInto, const BurnTally& aFrom);

// The counts of one host. Each pair of team and service has two ring buffers:
// one-minute slots for 30 minutes and ten-minute slots for six hours. A series
// therefore takes about 5 kB regardless of the number of requests. A window
// consists of whole slots and includes the current, incomplete one, so the
// 5-minute window covers the last four to five minutes.
//
//   BurnCounters counters({});
//   counters.Record(sample, objective, now);
//   const BurnTally tally = counters.Tally(now);
//
// Not thread-safe; the runtime keeps one instance per shard.
class BurnCounters
{
public:
  struct Options
  {
    // The maximum number of pairs of team and service. Further teams are
    // aggregated under kOtherTeams. With eight shards, 512 pairs each take
    // 22 MB of the 128 MB memory limit of a host.
    std::size_t maxSeries_ = 512;
  };

  static constexpr const char* kOtherTeams = "(others)";

  explicit BurnCounters(Options aOptions);
  ~BurnCounters();
  BurnCounters(const BurnCounters&) = delete;
  BurnCounters& operator=(const BurnCounters&) = delete;

  /// Counts one request.
  /// @param aSample the request
  /// @param aObjective the objective of its service
  /// @param aNow the current time
  void Record(const BurnSample& aSample,
              const ServiceObjective& aObjective,
              TimePoint aNow);

  /// Returns the counts of all windows that end at aNow, without series that
  /// are empty.
  BurnTally Tally(TimePoint aNow) const;

  /// Returns the number of pairs of team and service held in memory.
  std::size_t SeriesCount() const { return series_.size(); }

private:
  class SeriesCounts;
  using SeriesKey = std::pair<std::string, std::string>; // team, service

  SeriesCounts& FindOrCreate(const BurnSample& aSample, TimePoint aNow);
  void EvictIdle(TimePoint aNow);

  Options options_;
  std::map<SeriesKey, std::unique_ptr<SeriesCounts>> series_;
};

using ObjectivesByService = std::map<std::string, ServiceObjective>;

// One row of the report.
struct BurnRow
{
  BurnKey key_;
  double target_ = 0; // fraction of requests that must meet the objective
  BurnWindowCounts counts_{};
  // Burn rate per window: the fraction of misses over the allowed fraction. At
  // a rate of 1 the budget lasts exactly the budget period.
  std::array<double, kBurnWindows.size()> rates_{};
  double budgetRemaining_ = 1; // in the last window; negative when overspent
  // Time until the budget is exhausted at the 30 min rate; empty if that rate
  // never exhausts it.
  std::optional<std::chrono::minutes> timeToExhaustion_;
};

/// Computes the rows of a report. Teams are sorted by their highest one-hour
/// burn rate in descending order, and so are the rows of a team. Omits counts
/// of services that no longer have an objective.
std::vector<BurnRow> EvaluateBurn(const BurnTally& aTally,
                                  const ObjectivesByService& aObjectives);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_BURN_H_
