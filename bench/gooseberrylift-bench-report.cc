#include "bench/gooseberrylift-bench-report.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace gooseberrylift::bench {

Summary Summarize(const std::vector<Record>& aRecords)
{
  Summary summary{ .sent_ = aRecords.size() };
  TimePoint arrivals{};
  for (const Record& record : aRecords) {
    arrivals = std::max(arrivals, record.sent_);
    if (record.code_ == ResultCode::kOk) {
      ++summary.answered_;
    } else if (!record.started_ && !record.late_ && !record.refusedLate_) {
      ++summary.refused_;
    } else {
      ++summary.missed_;
    }
  }
  double good = 0;
  for (const Record& record : aRecords) {
    if (record.code_ == ResultCode::kOk && record.answered_ <= arrivals) {
      good += std::chrono::duration<double>(PrefillTime(record.promptTokens_))
                .count();
    }
  }
  summary.goodput_ =
    good / std::chrono::duration<double>(arrivals.time_since_epoch()).count();
  return summary;
}

double FirstTokenMs(const std::vector<Record>& aRecords,
                    double aQuantile,
                    const Selects& aSelects)
{
  std::vector<double> values;
  for (const Record& record : aRecords) {
    if (record.code_ == ResultCode::kOk && aSelects(record)) {
      values.push_back(static_cast<double>(record.firstToken_.count()) / 1000);
    }
  }
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
    aQuantile * static_cast<double>(values.size() - 1));
  return values[rank];
}

Selects Length(std::uint64_t aMin, std::uint64_t aMax)
{
  return [aMin, aMax](const Record& aRecord) {
    return aRecord.promptTokens_ >= aMin && aRecord.promptTokens_ <= aMax;
  };
}

std::vector<Record> RunPattern(Pattern aPattern,
                               const std::string& aStrategy,
                               Summary* aSummary)
{
  constexpr std::string_view kPrefix = "fcfs-";
  const bool plain = aStrategy.starts_with(kPrefix);
  aPattern.fleet_.classPriority_ = !plain;
  aPattern.fleet_.scheduler_.placement_ =
    plain ? aStrategy.substr(kPrefix.size()) : aStrategy;
  Fleet fleet(aPattern.fleet_);
  if (aPattern.changes_) {
    aPattern.changes_(fleet);
  }
  std::vector<Record> records = fleet.Run(aPattern.arrivals_);
  if (aSummary != nullptr) {
    *aSummary = Summarize(records);
    aSummary->dispatches_ = fleet.Dispatches();
    aSummary->timeouts_ = fleet.Timeouts();
  }
  return records;
}

nlohmann::json RowOf(const std::vector<Record>& aRecords,
                     const Summary& aSummary)
{
  struct Band
  {
    const char* name_;
    std::uint64_t least_;
    std::uint64_t most_;
  };
  constexpr Band kBands[] = { { "le4k", 0, 4000 },
                              { "le30k", 4001, 30'000 },
                              { "le100k", 30'001, 99'999 },
                              { "le1m", 100'000, 2'000'000 } };
  nlohmann::json row = { { "sent", aSummary.sent_ },
                         { "answered", aSummary.answered_ },
                         { "refused", aSummary.refused_ },
                         { "missed", aSummary.missed_ },
                         { "miss_share", aSummary.MissShare() },
                         { "goodput", aSummary.goodput_ },
                         { "dispatches", aSummary.dispatches_ },
                         { "timeouts", aSummary.timeouts_ } };
  for (const Record& record : aRecords) {
    const std::string code(InfoOf(record.code_).name_);
    const char* when = record.late_ || record.refusedLate_ ? "late" : "early";
    nlohmann::json& count = row["codes"][code][when];
    count = count.is_null() ? 1 : count.get<int>() + 1;
  }
  for (const Band& band : kBands) {
    const Selects selects = Length(band.least_, band.most_);
    for (const int percent : { 50, 95, 99 }) {
      row["ttft_ms"][band.name_]["p" + std::to_string(percent)] =
        FirstTokenMs(aRecords, percent / 100.0, selects);
    }
  }
  return row;
}

} // namespace gooseberrylift::bench
