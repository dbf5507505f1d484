// How fast each team's error budgets are spent: counts over windows of time in
// bounded memory, merged over hosts, and the burn rates worked out from them.

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

// Short windows show a fast burn soon, long ones a slow burn surely. The last
// is also the period of the budget, since hosts keep nothing for longer.
inline constexpr std::array<std::chrono::minutes, 4> kBurnWindows = {
  std::chrono::minutes(5),
  std::chrono::minutes(30),
  std::chrono::minutes(60),
  std::chrono::minutes(360)
};

enum class BurnObjective
{
  kFirstToken, // the first token within the band's bound
  kSuccess     // the whole answer within the deadline
};

/// Gives an objective's name: "first-token" or "success".
const char* NameOf(BurnObjective aObjective);

// One request that ended, as far as objectives are concerned.
struct BurnSample
{
  std::string team_;
  std::string service_;
  std::uint64_t promptTokens_ = 0;
  std::optional<std::chrono::microseconds> firstToken_; // none when none came
  bool succeeded_ = false;
};

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

struct BurnCounts
{
  std::uint64_t met_ = 0;
  std::uint64_t missed_ = 0;

  bool operator==(const BurnCounts&) const = default;
};

// Counts by window, in the order of kBurnWindows.
using BurnWindowCounts = std::array<BurnCounts, kBurnWindows.size()>;
using BurnTally = std::map<BurnKey, BurnWindowCounts>;

/// Adds another host's counts. Sums are whole numbers, so the order of hosts
/// makes no difference and nothing is lost.
void MergeTally(BurnTally& aInto, const BurnTally& aFrom);

// Counts of one host. Each team and service has two rings of slots, one of
// minutes for half an hour and one of ten minutes for six hours, so a series
// takes about 5 kB however many requests it counts. A window is made of whole
// slots and includes the running one, so "5 min" covers the last four to five.
//
//   BurnLedger ledger({});
//   ledger.Record(sample, objective, now);
//   const BurnTally tally = ledger.Tally(now);
//
// Not thread-safe; the runtime keeps one in each of its shards.
class BurnLedger
{
public:
  struct Options
  {
    // Above this many pairs of team and service, further teams are counted
    // together under kOtherTeams: 512 pairs in each of eight shards take 22 MB
    // of the 128 MB that a host may use.
    std::size_t maxSeries_ = 512;
  };

  static constexpr const char* kOtherTeams = "(others)";

  explicit BurnLedger(Options aOptions);
  ~BurnLedger();
  BurnLedger(const BurnLedger&) = delete;
  BurnLedger& operator=(const BurnLedger&) = delete;

  /// Counts one request.
  /// @param aSample the request
  /// @param aObjective what its service promises
  /// @param aNow the current time
  void Record(const BurnSample& aSample,
              const ServiceObjective& aObjective,
              TimePoint aNow);

  /// Gives the counts of all windows that end now; empty ones are left out.
  BurnTally Tally(TimePoint aNow) const;

  std::size_t Series() const { return series_.size(); }

private:
  class SeriesCounts;
  using SeriesKey = std::pair<std::string, std::string>; // team, service

  SeriesCounts& Find(const BurnSample& aSample, TimePoint aNow);
  void DropIdle(TimePoint aNow);

  Options options_;
  std::map<SeriesKey, std::unique_ptr<SeriesCounts>> series_;
};

using ObjectivesByService = std::map<std::string, ServiceObjective>;

// One line of the report.
struct BurnRow
{
  BurnKey key_;
  double target_ = 0; // the share that is to meet the objective
  BurnWindowCounts counts_{};
  // Missed share over allowed share, by window: at 1 the budget lasts exactly
  // its period.
  std::array<double, kBurnWindows.size()> rates_{};
  double budgetLeft_ = 1; // of the last window; below 0 when overspent
  // When the budget is spent if the 30 min rate goes on; none if it never is.
  std::optional<std::chrono::minutes> spentIn_;
};

/// Works out the rows of a report: the worst team first, by its highest rate
/// over an hour, and in a team the worst row first. Counts whose service has no
/// objective any more are left out.
std::vector<BurnRow> EvaluateBurn(const BurnTally& aTally,
                                  const ObjectivesByService& aObjectives);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_BURN_H_
