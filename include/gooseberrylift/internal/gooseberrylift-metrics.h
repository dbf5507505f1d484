// Counters and histograms of one host, exported in the Prometheus text format.
// Histograms use Boost.Histogram. docs/METRICS.md describes each metric.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_METRICS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_METRICS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "gooseberrylift/gooseberrylift-first-token-histogram.h"

namespace gooseberrylift {

// State is sharded by thread, each shard with its own lock, and merged on read.
// Thread-safe.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Records the time to first token of one request.
  /// @param aService the service's name
  /// @param aPromptTokens the prompt's length, which selects the prompt band
  /// @param aTime from the request's arrival to its first token
  void RecordFirstToken(std::string_view aService,
                        std::uint64_t aPromptTokens,
                        std::chrono::microseconds aTime);

  /// Increments a counter.
  /// @param aName the metric's name
  /// @param aLabel the counter's label in exposition format, such as code="63";
  /// may be empty
  void Count(std::string_view aName, std::string_view aLabel = {});

  /// Returns a counter's values by label.
  std::map<std::string, std::uint64_t> Counts(const std::string& aName) const;

  /// Returns the times to first token since the start, merged over all shards.
  FirstTokenHistogram FirstTokens() const;

  /// Returns all metrics in the Prometheus text format.
  std::string Text() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_METRICS_H_
