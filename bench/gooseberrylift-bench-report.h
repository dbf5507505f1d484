// What callers received, summed up.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_REPORT_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_REPORT_H_

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "bench/gooseberrylift-bench-load.h"

namespace gooseberrylift::bench {

// What came of one run. Missed are requests that were admitted, which means
// not refused at once, and got no whole answer in their deadline.
struct Summary
{
  std::size_t sent_ = 0;
  std::size_t answered_ = 0;
  std::size_t refused_ = 0; // at once
  std::size_t missed_ = 0;
  std::uint64_t dispatches_ = 0;
  std::uint64_t timeouts_ = 0;
  // Engine seconds a second of answers that were whole in their deadline, while
  // requests came; what is worked off afterwards does not count.
  double goodput_ = 0;

  double MissShare() const
  {
    const std::size_t admitted = answered_ + missed_;
    return admitted == 0
             ? 0
             : static_cast<double>(missed_) / static_cast<double>(admitted);
  }
};

using Selects = std::function<bool(const Record& aRecord)>;

Summary Summarize(const std::vector<Record>& aRecords);

/// Gives a quantile of the time to first token of whole answers.
/// @param aQuantile 0.99 for p99
/// @return milliseconds; 0 when none was selected
double FirstTokenMs(const std::vector<Record>& aRecords,
                    double aQuantile,
                    const Selects& aSelects);

/// Selects prompts by length, bounds included.
Selects Length(std::uint64_t aLeast, std::uint64_t aMost);

/// Runs a pattern under a placement strategy.
/// @param aStrategy a placement name; "fcfs-" before it takes the class away
/// from engines
std::vector<Record> RunPattern(Pattern aPattern,
                               const std::string& aStrategy,
                               Summary* aSummary = nullptr);

/// Makes one row of the bench's JSON.
nlohmann::json RowOf(const std::vector<Record>& aRecords,
                     const Summary& aSummary);

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_REPORT_H_
