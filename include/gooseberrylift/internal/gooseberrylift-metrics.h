// Counters and histograms of one host, in Prometheus text. The histograms are
// Boost.Histogram's; docs/METRICS.md says what each means.

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

// State is split into shards by thread, each under its own lock, and merged
// when it is read. Safe to use from any thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Records the time to first token of one request.
  /// @param aService the service's name
  /// @param aPromptTokens the prompt's length, which selects the band
  /// @param aTime from the request's arrival to its first token
  void RecordFirstToken(std::string_view aService,
                        std::uint64_t aPromptTokens,
                        std::chrono::microseconds aTime);

  /// Adds one to a counter.
  /// @param aName the metric's name
  /// @param aLabel its one label as it stands in the text, such as
  /// code="63"; may be empty
  void Count(std::string_view aName, std::string_view aLabel = {});

  /// Gives a counter's values by label.
  std::map<std::string, std::uint64_t> Counts(const std::string& aName) const;

  /// Gives the times to first token since the start, of all shards.
  FirstTokenHistogram FirstTokens() const;

  /// Gives all metrics in Prometheus text.
  std::string Text() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_METRICS_H_
