// Summary statistics of a simulated run.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_REPORT_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_REPORT_H_

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "bench/gooseberrylift-bench-load.h"

namespace gooseberrylift::bench {

// Counts of one run. A request is admitted if it is not rejected immediately,
// and missed if it is admitted but gets no complete answer within its deadline.
struct Summary
{
  std::size_t sent_ = 0;
  std::size_t answered_ = 0;
  std::size_t refused_ = 0; // rejected immediately
  std::size_t missed_ = 0;
  std::uint64_t dispatches_ = 0;
  std::uint64_t timeouts_ = 0;
  // Engine seconds per second spent on answers completed within their deadline
  // while requests arrive; the backlog processed afterwards does not count.
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

/// Returns a quantile of the time to first token of complete answers.
/// @param aQuantile 0.99 for p99
/// @return milliseconds; 0 if no record was selected
double FirstTokenMs(const std::vector<Record>& aRecords,
                    double aQuantile,
                    const Selects& aSelects);

/// Selects prompts by length; both bounds are inclusive.
Selects Length(std::uint64_t aMin, std::uint64_t aMax);

/// Runs a pattern with a placement strategy.
/// @param aStrategy a placement name; the prefix "fcfs-" hides the service
/// class from engines
std::vector<Record> RunPattern(Pattern aPattern,
                               const std::string& aStrategy,
                               Summary* aSummary = nullptr);

/// Returns one row of the benchmark's JSON output.
nlohmann::json RowOf(const std::vector<Record>& aRecords,
                     const Summary& aSummary);

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_REPORT_H_
