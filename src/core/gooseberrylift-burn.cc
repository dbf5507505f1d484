#include "gooseberrylift/gooseberrylift-burn.h"

#include <algorithm>

#include <boost/histogram.hpp>

namespace gooseberrylift {

namespace bh = boost::histogram;
using std::chrono::minutes;

namespace {

constexpr int kOutcomes = 4; // met and missed, for each objective

int OutcomeIndex(BurnObjective aObjective, bool aMet)
{
  return static_cast<int>(aObjective) * 2 + (aMet ? 0 : 1);
}

using Axis = bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using RingHistogram =
  bh::histogram<std::tuple<Axis, Axis, Axis>, bh::dense_storage<std::uint32_t>>;

// A histogram over time slot, prompt band and outcome. The slots form a ring
// buffer: a new slot reuses the storage of the oldest one.
class SlotRing
{
public:
  SlotRing(int aSlotCount, minutes aSlot)
    : slotCount_(aSlotCount)
    , slotLength_(aSlot)
    , histogram_(std::make_tuple(Axis(0, aSlotCount),
                                 Axis(0, static_cast<int>(kPromptBands.size())),
                                 Axis(0, kOutcomes)))
  {
  }

  void Add(std::size_t aBand, int aOutcome, TimePoint aNow)
  {
    AdvanceTo(SlotOf(aNow));
    ++histogram_.at(
      RingIndexOf(newestSlot_), static_cast<int>(aBand), aOutcome);
  }

  std::uint64_t Sum(minutes aWindow,
                    std::size_t aBand,
                    int aOutcome,
                    TimePoint aNow) const
  {
    const std::int64_t last = SlotOf(aNow);
    const std::int64_t first = last - aWindow / slotLength_ + 1;
    std::uint64_t sum = 0;
    for (std::int64_t slot = std::max(first, newestSlot_ - slotCount_ + 1);
         slot <= std::min(last, newestSlot_);
         ++slot) {
      sum +=
        histogram_.at(RingIndexOf(slot), static_cast<int>(aBand), aOutcome);
    }
    return sum;
  }

  bool IsIdle(TimePoint aNow) const
  {
    return SlotOf(aNow) - newestSlot_ >= slotCount_;
  }

private:
  std::int64_t SlotOf(TimePoint aTime) const
  {
    return aTime.time_since_epoch() / slotLength_;
  }

  int RingIndexOf(std::int64_t aSlot) const
  {
    return static_cast<int>(((aSlot % slotCount_) + slotCount_) % slotCount_);
  }

  // Makes aSlot the newest slot, and clears it and the slots skipped since the
  // last call. Otherwise counts of six hours ago would be reported as current.
  void AdvanceTo(std::int64_t aSlot)
  {
    const std::int64_t from = std::max(newestSlot_ + 1, aSlot - slotCount_ + 1);
    for (std::int64_t slot = from; slot <= aSlot; ++slot) {
      Clear(RingIndexOf(slot));
    }
    newestSlot_ = std::max(newestSlot_, aSlot);
  }

  void Clear(int aIndex)
  {
    for (int band = 0; band < histogram_.axis(1).size(); ++band) {
      for (int outcome = 0; outcome < kOutcomes; ++outcome) {
        histogram_.at(aIndex, band, outcome) = 0;
      }
    }
  }

  int slotCount_;
  minutes slotLength_;
  RingHistogram histogram_;
  std::int64_t newestSlot_ = std::numeric_limits<std::int64_t>::min() / 2;
};

double BurnRate(const BurnCounts& aCounts, double aTarget)
{
  const double total = static_cast<double>(aCounts.met_ + aCounts.missed_);
  return total == 0
           ? 0
           : static_cast<double>(aCounts.missed_) / total / (1.0 - aTarget);
}

std::optional<minutes> TimeToExhaustion(double aBudgetRemaining, double aRate)
{
  if (aBudgetRemaining <= 0) {
    return minutes(0);
  }
  if (aRate <= 0) {
    return std::nullopt;
  }
  // A burn rate of 1 exhausts the whole budget in one period.
  return minutes(static_cast<std::int64_t>(
    aBudgetRemaining / aRate *
    static_cast<double>(kBurnWindows.back().count())));
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
    row.rates_.at(window) = BurnRate(aCounts.at(window), row.target_);
  }
  row.budgetRemaining_ = 1.0 - row.rates_.back();
  row.timeToExhaustion_ =
    TimeToExhaustion(row.budgetRemaining_, row.rates_.at(1));
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

// The two ring buffers of one pair of team and service.
class BurnCounters::SeriesCounts
{
public:
  void Add(std::size_t aBand,
           BurnObjective aObjective,
           bool aMet,
           TimePoint aNow)
  {
    const int outcome = OutcomeIndex(aObjective, aMet);
    minuteRing_.Add(aBand, outcome, aNow);
    tenMinuteRing_.Add(aBand, outcome, aNow);
  }

  BurnWindowCounts Counts(std::size_t aBand,
                          BurnObjective aObjective,
                          TimePoint aNow) const
  {
    BurnWindowCounts counts;
    for (std::size_t window = 0; window < counts.size(); ++window) {
      const minutes length = kBurnWindows.at(window);
      const SlotRing& ring =
        length <= kMinuteRingSpan ? minuteRing_ : tenMinuteRing_;
      counts.at(window) = {
        .met_ = ring.Sum(length, aBand, OutcomeIndex(aObjective, true), aNow),
        .missed_ =
          ring.Sum(length, aBand, OutcomeIndex(aObjective, false), aNow)
      };
    }
    return counts;
  }

  bool IsIdle(TimePoint aNow) const { return tenMinuteRing_.IsIdle(aNow); }

private:
  static constexpr minutes kMinuteRingSpan{ 30 };

  SlotRing minuteRing_{ 30, minutes(1) };
  SlotRing tenMinuteRing_{ 36, minutes(10) };
};

BurnCounters::BurnCounters(Options aOptions)
  : options_(aOptions)
{
}

BurnCounters::~BurnCounters() = default;

void BurnCounters::Record(const BurnSample& aSample,
                          const ServiceObjective& aObjective,
                          TimePoint aNow)
{
  SeriesCounts& series = FindOrCreate(aSample, aNow);
  const std::size_t band = PromptBandIndex(aSample.promptTokens_);
  if (const auto& bound = aObjective.firstToken_.at(band)) {
    const bool met = aSample.firstToken_ && *aSample.firstToken_ <= *bound;
    series.Add(band, BurnObjective::kFirstToken, met, aNow);
  }
  series.Add(band, BurnObjective::kSuccess, aSample.succeeded_, aNow);
}

BurnCounters::SeriesCounts& BurnCounters::FindOrCreate(
  const BurnSample& aSample,
  TimePoint aNow)
{
  SeriesKey key(aSample.team_, aSample.service_);
  if (!series_.contains(key) && series_.size() >= options_.maxSeries_) {
    EvictIdle(aNow);
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

void BurnCounters::EvictIdle(TimePoint aNow)
{
  std::erase_if(series_, [aNow](const auto& aEntry) {
    return aEntry.second->IsIdle(aNow);
  });
}

BurnTally BurnCounters::Tally(TimePoint aNow) const
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
  constexpr std::size_t kHour = 2; // index in kBurnWindows
  std::vector<BurnRow> rows;
  std::map<std::string, double> worstRates;
  for (const auto& [key, counts] : aTally) {
    const auto objective = aObjectives.find(key.service_);
    if (objective != aObjectives.end()) {
      rows.push_back(MakeRow(key, counts, objective->second));
      double& rate = worstRates[key.team_];
      rate = std::max(rate, rows.back().rates_.at(kHour));
    }
  }
  std::stable_sort(
    rows.begin(), rows.end(), [&](const BurnRow& aLeft, const BurnRow& aRight) {
      const auto order = [&](const BurnRow& aRow) {
        return std::tuple(-worstRates.at(aRow.key_.team_),
                          aRow.key_.team_,
                          -aRow.rates_.at(kHour));
      };
      return order(aLeft) < order(aRight);
    });
  return rows;
}

} // namespace gooseberrylift
