#include "gooseberrylift/gooseberrylift-burn.h"

#include <algorithm>

#include <boost/histogram.hpp>

namespace gooseberrylift {

namespace bh = boost::histogram;
using std::chrono::minutes;

namespace {

constexpr int kOutcomes = 4; // met and missed of each objective

int OutcomeIndex(BurnObjective aObjective, bool aMet)
{
  return static_cast<int>(aObjective) * 2 + (aMet ? 0 : 1);
}

using Axis = bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using RingHistogram =
  bh::histogram<std::tuple<Axis, Axis, Axis>, bh::dense_storage<std::uint32_t>>;

// A histogram of slot, band and outcome whose slots are used in turn.
class SlotRing
{
public:
  SlotRing(int aSlots, minutes aSlot)
    : slots_(aSlots)
    , slot_(aSlot)
    , histogram_(std::make_tuple(Axis(0, aSlots),
                                 Axis(0, static_cast<int>(kPromptBands.size())),
                                 Axis(0, kOutcomes)))
  {
  }

  void Add(std::size_t aBand, int aOutcome, TimePoint aNow)
  {
    Advance(SlotOf(aNow));
    ++histogram_.at(IndexOf(newest_), static_cast<int>(aBand), aOutcome);
  }

  std::uint64_t Sum(minutes aWindow,
                    std::size_t aBand,
                    int aOutcome,
                    TimePoint aNow) const
  {
    const std::int64_t last = SlotOf(aNow);
    const std::int64_t first = last - aWindow / slot_ + 1;
    std::uint64_t sum = 0;
    for (std::int64_t slot = std::max(first, newest_ - slots_ + 1);
         slot <= std::min(last, newest_);
         ++slot) {
      sum += histogram_.at(IndexOf(slot), static_cast<int>(aBand), aOutcome);
    }
    return sum;
  }

  bool IsIdle(TimePoint aNow) const { return SlotOf(aNow) - newest_ >= slots_; }

private:
  std::int64_t SlotOf(TimePoint aTime) const
  {
    return aTime.time_since_epoch() / slot_;
  }

  int IndexOf(std::int64_t aSlot) const
  {
    return static_cast<int>(((aSlot % slots_) + slots_) % slots_);
  }

  // Empties the slots that a new one and those skipped take over. Without it
  // counts of six hours ago would come back as new ones.
  void Advance(std::int64_t aSlot)
  {
    const std::int64_t from = std::max(newest_ + 1, aSlot - slots_ + 1);
    for (std::int64_t slot = from; slot <= aSlot; ++slot) {
      Clear(IndexOf(slot));
    }
    newest_ = std::max(newest_, aSlot);
  }

  void Clear(int aIndex)
  {
    for (int band = 0; band < histogram_.axis(1).size(); ++band) {
      for (int outcome = 0; outcome < kOutcomes; ++outcome) {
        histogram_.at(aIndex, band, outcome) = 0;
      }
    }
  }

  int slots_;
  minutes slot_;
  RingHistogram histogram_;
  std::int64_t newest_ = std::numeric_limits<std::int64_t>::min() / 2;
};

double RateOf(const BurnCounts& aCounts, double aTarget)
{
  const double total = static_cast<double>(aCounts.met_ + aCounts.missed_);
  return total == 0
           ? 0
           : static_cast<double>(aCounts.missed_) / total / (1.0 - aTarget);
}

std::optional<minutes> SpentIn(double aBudgetLeft, double aRate)
{
  if (aBudgetLeft <= 0) {
    return minutes(0);
  }
  if (aRate <= 0) {
    return std::nullopt;
  }
  // In each period, a rate of 1 spends the whole budget.
  return minutes(static_cast<std::int64_t>(
    aBudgetLeft / aRate * static_cast<double>(kBurnWindows.back().count())));
}

BurnRow MakeRow(const BurnKey& aKey,
                const BurnWindowCounts& aCounts,
                const ServiceObjective& aObjective)
{
  BurnRow row{ .key_ = aKey,
               .target_ = aKey.objective_ == BurnObjective::kFirstToken
                            ? aObjective.firstTokenShare_
                            : aObjective.successShare_,
               .counts_ = aCounts };
  for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
    row.rates_.at(window) = RateOf(aCounts.at(window), row.target_);
  }
  row.budgetLeft_ = 1.0 - row.rates_.back();
  row.spentIn_ = SpentIn(row.budgetLeft_, row.rates_.at(1));
  return row;
}

} // namespace

const char* NameOf(BurnObjective aObjective)
{
  return aObjective == BurnObjective::kFirstToken ? "first-token" : "success";
}

void MergeTally(BurnTally& aInto, const BurnTally& aFrom)
{
  for (const auto& [key, counts] : aFrom) {
    BurnWindowCounts& sums = aInto[key];
    for (std::size_t window = 0; window < sums.size(); ++window) {
      sums.at(window).met_ += counts.at(window).met_;
      sums.at(window).missed_ += counts.at(window).missed_;
    }
  }
}

// The two rings of one team and service.
class BurnLedger::SeriesCounts
{
public:
  void Add(std::size_t aBand,
           BurnObjective aObjective,
           bool aMet,
           TimePoint aNow)
  {
    const int outcome = OutcomeIndex(aObjective, aMet);
    fine_.Add(aBand, outcome, aNow);
    coarse_.Add(aBand, outcome, aNow);
  }

  BurnWindowCounts Counts(std::size_t aBand,
                          BurnObjective aObjective,
                          TimePoint aNow) const
  {
    BurnWindowCounts counts;
    for (std::size_t window = 0; window < counts.size(); ++window) {
      const minutes length = kBurnWindows.at(window);
      const SlotRing& ring = length <= kFineReach ? fine_ : coarse_;
      counts.at(window) = {
        .met_ = ring.Sum(length, aBand, OutcomeIndex(aObjective, true), aNow),
        .missed_ =
          ring.Sum(length, aBand, OutcomeIndex(aObjective, false), aNow)
      };
    }
    return counts;
  }

  bool IsIdle(TimePoint aNow) const { return coarse_.IsIdle(aNow); }

private:
  static constexpr minutes kFineReach{ 30 };

  SlotRing fine_{ 30, minutes(1) };
  SlotRing coarse_{ 36, minutes(10) };
};

BurnLedger::BurnLedger(Options aOptions)
  : options_(aOptions)
{
}

BurnLedger::~BurnLedger() = default;

void BurnLedger::Record(const BurnSample& aSample,
                        const ServiceObjective& aObjective,
                        TimePoint aNow)
{
  SeriesCounts& series = Find(aSample, aNow);
  const std::size_t band = BandOf(aSample.promptTokens_);
  if (const auto& bound = aObjective.firstToken_.at(band)) {
    const bool met = aSample.firstToken_ && *aSample.firstToken_ <= *bound;
    series.Add(band, BurnObjective::kFirstToken, met, aNow);
  }
  series.Add(band, BurnObjective::kSuccess, aSample.succeeded_, aNow);
}

BurnLedger::SeriesCounts& BurnLedger::Find(const BurnSample& aSample,
                                           TimePoint aNow)
{
  SeriesKey key(aSample.team_, aSample.service_);
  if (!series_.contains(key) && series_.size() >= options_.maxSeries_) {
    DropIdle(aNow);
    if (series_.size() >= options_.maxSeries_) {
      key.first = kOtherTeams;
    }
  }
  std::unique_ptr<SeriesCounts>& series = series_[key];
  if (!series) {
    series = std::make_unique<SeriesCounts>();
  }
  return *series;
}

void BurnLedger::DropIdle(TimePoint aNow)
{
  std::erase_if(series_, [aNow](const auto& aEntry) {
    return aEntry.second->IsIdle(aNow);
  });
}

BurnTally BurnLedger::Tally(TimePoint aNow) const
{
  BurnTally tally;
  for (const auto& [key, series] : series_) {
    for (std::size_t band = 0; band < kPromptBands.size(); ++band) {
      for (const auto objective :
           { BurnObjective::kFirstToken, BurnObjective::kSuccess }) {
        const BurnWindowCounts counts = series->Counts(band, objective, aNow);
        if (counts.back() != BurnCounts{}) {
          tally[{ key.first, key.second, band, objective }] = counts;
        }
      }
    }
  }
  return tally;
}

std::vector<BurnRow> EvaluateBurn(const BurnTally& aTally,
                                  const ObjectivesByService& aObjectives)
{
  constexpr std::size_t kHour = 2; // in kBurnWindows
  std::vector<BurnRow> rows;
  std::map<std::string, double> worst;
  for (const auto& [key, counts] : aTally) {
    const auto objective = aObjectives.find(key.service_);
    if (objective != aObjectives.end()) {
      rows.push_back(MakeRow(key, counts, objective->second));
      double& rate = worst[key.team_];
      rate = std::max(rate, rows.back().rates_.at(kHour));
    }
  }
  std::stable_sort(
    rows.begin(), rows.end(), [&](const BurnRow& aLeft, const BurnRow& aRight) {
      const auto order = [&](const BurnRow& aRow) {
        return std::tuple(
          -worst.at(aRow.key_.team_), aRow.key_.team_, -aRow.rates_.at(kHour));
      };
      return order(aLeft) < order(aRight);
    });
  return rows;
}

} // namespace gooseberrylift
