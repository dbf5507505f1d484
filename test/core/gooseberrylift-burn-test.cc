#include "gooseberrylift/gooseberrylift-burn.h"

#include <random>
#include <sstream>

#include "gooseberrylift/gooseberrylift-burn-document.h"
#include "gooseberrylift/gooseberrylift-first-token-histogram.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

// Indices in kBurnWindows.
constexpr std::size_t kFiveMinutes = 0;
constexpr std::size_t kHalfHour = 1;
constexpr std::size_t kHour = 2;
constexpr std::size_t kSixHours = 3;

BurnSample Sample(const char* aTeam, bool aSucceeded)
{
  return { .team_ = aTeam,
           .service_ = "chat",
           .promptTokens_ = 100,
           .firstToken_ = 200ms,
           .succeeded_ = aSucceeded };
}

} // namespace

TEST_GROUP(BurnTest)
{
  BurnCounters counters_{ BurnCounters::Options{} };
  TimePoint start_{ 1000h };
  ServiceObjective objective_{ .firstToken_ = { 300ms, 600ms },
                               .firstTokenShare_ = 0.95,
                               .successShare_ = 0.99 };

  void Record(int aMet, int aMissed, TimePoint aWhen)
  {
    for (int count = 0; count < aMet + aMissed; ++count) {
      counters_.Record(Sample("a", count < aMet), objective_, aWhen);
    }
  }

  BurnRow SuccessRow(TimePoint aNow) const
  {
    const auto rows =
      EvaluateBurn(counters_.Tally(aNow), { { "chat", objective_ } });
    for (const BurnRow& row : rows) {
      if (row.key_.objective_ == BurnObjective::kSuccess) {
        return row;
      }
    }
    FAIL("no row for the success objective");
    return {};
  }
};

// Expected values, computed by hand for a success target of 99 %:
//   -5 h     900 met, 0 missed
//   -50 min   50 met, 0 missed
//   -20 min   46 met, 2 missed
//   now        1 met, 1 missed
//   5 min: 1/2 / 0.01 = 50          30 min: 3/50 / 0.01 = 6
//   1 h: 3/100 / 0.01 = 3           6 h: 3/1000 / 0.01 = 0.3
//   remaining budget 0.7; at the 30 min rate it lasts 0.7 / 6 * 360 = 42 min
TEST(BurnTest, ComputesRatesAndRemainingBudget)
{
  const TimePoint now = start_ + 5h;
  Record(900, 0, start_);
  Record(50, 0, now - 50min);
  Record(46, 2, now - 20min);
  Record(1, 1, now);
  const BurnRow row = SuccessRow(now);
  DOUBLES_EQUAL(50.0, row.rates_.at(kFiveMinutes), 1e-9);
  DOUBLES_EQUAL(6.0, row.rates_.at(kHalfHour), 1e-9);
  DOUBLES_EQUAL(3.0, row.rates_.at(kHour), 1e-9);
  DOUBLES_EQUAL(0.3, row.rates_.at(kSixHours), 1e-9);
  DOUBLES_EQUAL(0.7, row.budgetRemaining_, 1e-9);
  LONGS_EQUAL(42, row.timeToExhaustion_.value().count());
}

TEST(BurnTest, ExcludesCountsOutsideTheWindow)
{
  Record(0, 5, start_);
  const BurnRow later = SuccessRow(start_ + 6min);
  LONGS_EQUAL(0, later.counts_.at(kFiveMinutes).missed_);
  LONGS_EQUAL(5, later.counts_.at(kHalfHour).missed_);
  CHECK_TRUE(counters_.Tally(start_ + 7h).empty());
}

// A ring buffer slot is reused after six hours. If it were not cleared first,
// old misses would be counted again as current ones.
TEST(BurnTest, ClearsReusedRingBufferSlots)
{
  Record(0, 5, start_);
  Record(1, 0, start_ + 6h);
  const BurnRow row = SuccessRow(start_ + 6h);
  LONGS_EQUAL(0, row.counts_.at(kSixHours).missed_);
  LONGS_EQUAL(1, row.counts_.at(kSixHours).met_);
}

TEST(BurnTest, AppliesTheFirstTokenBoundOfThePromptBand)
{
  BurnSample sample = Sample("a", true);
  sample.firstToken_ = 400ms; // above the bound of le4k, within that of le10k
  counters_.Record(sample, objective_, start_);
  sample.promptTokens_ = 5000;
  counters_.Record(sample, objective_, start_);
  sample.promptTokens_ = 50'000; // a band without a bound
  counters_.Record(sample, objective_, start_);
  const BurnTally tally = counters_.Tally(start_);
  const auto counts = [&](std::size_t aBand) {
    return tally.at({ "a", "chat", aBand, BurnObjective::kFirstToken })
      .at(kHour);
  };
  CHECK((counts(0) == BurnCounts{ .missed_ = 1 }));
  CHECK((counts(1) == BurnCounts{ .met_ = 1 }));
  CHECK_FALSE(tally.contains({ "a", "chat", 2, BurnObjective::kFirstToken }));
}

TEST(BurnTest, CountsARequestWithoutAFirstTokenAsMissed)
{
  BurnSample sample = Sample("a", false);
  sample.firstToken_ = std::nullopt;
  counters_.Record(sample, objective_, start_);
  CHECK((counters_.Tally(start_)
           .at({ "a", "chat", 0, BurnObjective::kFirstToken })
           .at(kHour) == BurnCounts{ .missed_ = 1 }));
}

// Distributes requests over three hosts. The merged counts must equal those of
// a single host that recorded all requests, regardless of the merge order.
TEST(BurnTest, MergedCountsEqualThoseOfASingleHost)
{
  std::mt19937 generator(7);
  std::array<BurnCounters, 3> hosts{ BurnCounters({}),
                                     BurnCounters({}),
                                     BurnCounters({}) };
  std::array<FirstTokenHistogram, 3> times;
  FirstTokenHistogram allTimes;
  for (int count = 0; count < 3000; ++count) {
    BurnSample sample = Sample(generator() % 2 ? "a" : "b", generator() % 9);
    sample.promptTokens_ = generator() % 2'000'000;
    sample.firstToken_ = std::chrono::microseconds(generator() % 400'000'000);
    const TimePoint when = start_ + std::chrono::minutes(count / 10);
    const std::size_t host = generator() % 3;
    hosts.at(host).Record(sample, objective_, when);
    counters_.Record(sample, objective_, when);
    times.at(host).Record("chat", sample.promptTokens_, *sample.firstToken_);
    allTimes.Record("chat", sample.promptTokens_, *sample.firstToken_);
  }
  BurnTally merged;
  FirstTokenHistogram mergedTimes;
  FirstTokenHistogram sentTimes;
  for (const std::size_t host : { 2, 0, 1 }) {
    MergeTally(merged, hosts.at(host).Tally(start_ + 300min));
    mergedTimes.Merge(times.at(host));
    for (const auto& bin : times.at(host).NonEmptyBins()) {
      sentTimes.Add(bin);
    }
  }
  CHECK(merged == counters_.Tally(start_ + 300min));
  CHECK(mergedTimes.NonEmptyBins() == allTimes.NonEmptyBins());
  CHECK(sentTimes.NonEmptyBins() == allTimes.NonEmptyBins());
}

TEST(BurnTest, SortsTeamsByBurnRate)
{
  counters_.Record(Sample("calm", true), objective_, start_);
  counters_.Record(Sample("burning", true), objective_, start_);
  counters_.Record(Sample("burning", false), objective_, start_);
  const auto rows =
    EvaluateBurn(counters_.Tally(start_), { { "chat", objective_ } });
  STRCMP_EQUAL("burning", rows.front().key_.team_.c_str());
  CHECK(rows.front().key_.objective_ == BurnObjective::kSuccess);
  STRCMP_EQUAL("calm", rows.back().key_.team_.c_str());
}

// Memory must not grow with the number of teams: teams above the limit are
// aggregated, and idle series are evicted to make room for new teams.
TEST(BurnTest, LimitsSeriesAndAggregatesFurtherTeams)
{
  BurnCounters small({ .maxSeries_ = 2 });
  for (const char* team : { "a", "b", "c", "d" }) {
    small.Record(Sample(team, true), objective_, start_);
  }
  LONGS_EQUAL(3, small.SeriesCount());
  const BurnTally tally = small.Tally(start_);
  LONGS_EQUAL(
    2,
    tally.at({ BurnCounters::kOtherTeams, "chat", 0, BurnObjective::kSuccess })
      .at(kHour)
      .met_);
  small.Record(Sample("e", true), objective_, start_ + 7h);
  LONGS_EQUAL(1, small.SeriesCount());
}

TEST(BurnTest, PrintsFullNamesWithin80Columns)
{
  // A single miss out of one request is then a burn rate of 2000.
  objective_.successShare_ = 0.9995;
  BurnSample sample = Sample("front-desk", false);
  sample.service_ = "room-state";
  counters_.Record(sample, objective_, start_);
  const BurnDocument document{ .hosts_ = { "entry-1" },
                               .objectives_ = { { "room-state", objective_ } },
                               .tally_ = counters_.Tally(start_) };
  const std::string report = BurnReportText(document, {});
  STRCMP_CONTAINS("\nfront-desk  room-state  le4k  whole  2000  2000  2000  "
                  "2000  -999%     spent\n",
                  report.c_str());
  std::istringstream text(report);
  for (std::string line; std::getline(text, line);) {
    CHECK_TRUE_TEXT(line.size() <= 80, line.c_str());
  }
}

TEST(BurnTest, ParsesItsOwnSerializedDocument)
{
  Record(3, 1, start_);
  BurnDocument document{ .hosts_ = { "entry-1" },
                         .generation_ = 7,
                         .objectives_ = { { "chat", objective_ } },
                         .tally_ = counters_.Tally(start_) };
  document.firstTokens_.Record("chat", 100, 200ms);
  const auto read = ParseBurnDocument(SerializeBurnDocument(document));
  CHECK_TRUE(read.has_value());
  CHECK(read->tally_ == document.tally_);
  CHECK(read->firstTokens_.NonEmptyBins() ==
        document.firstTokens_.NonEmptyBins());
  CHECK(read->objectives_.at("chat").firstToken_ == objective_.firstToken_);
  CHECK_FALSE(ParseBurnDocument(R"({"hosts":[]})").has_value());
}

TEST(BurnTest, EstimatesQuantilesWithin26Percent)
{
  FirstTokenHistogram histogram;
  for (int count = 1; count <= 100; ++count) {
    histogram.Record("chat", 100, std::chrono::milliseconds(10 * count));
  }
  const double p95 = histogram.Quantile("chat", 0, 0.95).value().count();
  CHECK(p95 >= 0.95 && p95 <= 0.95 * 1.26);
  CHECK_FALSE(histogram.Quantile("chat", 1, 0.95).has_value());
}
