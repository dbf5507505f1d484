#include "gooseberrylift/internal/gooseberrylift-metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <sstream>

#include "gooseberrylift/gooseberrylift-prompt-band.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace {

constexpr std::size_t kShards = 8;

// Each thread is assigned a fixed shard, round robin, which keeps lock
// contention low.
std::size_t ShardOfThread()
{
  static std::atomic<std::size_t> sNext = 0;
  thread_local const std::size_t kMine = sNext++ % kShards;
  return kMine;
}

using SeriesKey = std::pair<std::string, std::size_t>; // service, band
using SeriesBins = std::map<int, std::uint64_t>;       // count by time bin

void WriteSeries(std::ostream& aOut,
                 const SeriesKey& aKey,
                 const SeriesBins& aBins)
{
  const std::string labels = "service=\"" + aKey.first + "\",prompt=\"" +
                             kPromptBands.at(aKey.second).name_ + "\"";
  const int last = FirstTokenHistogram::BinCount();
  std::uint64_t total = 0;
  double sum = 0;
  for (int bin = -1; bin <= last; ++bin) {
    const auto found = aBins.find(bin);
    const std::uint64_t count = found == aBins.end() ? 0 : found->second;
    total += count;
    const double edge =
      FirstTokenHistogram::UpperEdge(std::min(bin, last - 1)).count();
    sum += static_cast<double>(count) * edge;
    aOut << "gooseberrylift_first_token_seconds_bucket{" << labels << ",le=\"";
    bin == last ? aOut << "+Inf" : aOut << edge;
    aOut << "\"} " << total << '\n';
  }
  aOut << "gooseberrylift_first_token_seconds_sum{" << labels << "} " << sum
       << "\ngooseberrylift_first_token_seconds_count{" << labels << "} "
       << total << '\n';
}

} // namespace

class Metrics::Impl
{
public:
  struct Shard
  {
    mutable std::mutex mutex_;
    FirstTokenHistogram firstToken_;
    std::map<std::string, std::map<std::string, std::uint64_t>> counters_;
  };

  std::array<Shard, kShards> shards_;
};

Metrics::Metrics()
  : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::RecordFirstToken(std::string_view aService,
                               std::uint64_t aPromptTokens,
                               std::chrono::microseconds aTime)
{
  Impl::Shard& shard = impl_->shards_.at(ShardOfThread());
  const std::lock_guard lock(shard.mutex_);
  shard.firstToken_.Record(std::string(aService), aPromptTokens, aTime);
}

void Metrics::Count(std::string_view aName, std::string_view aLabel)
{
  Impl::Shard& shard = impl_->shards_.at(ShardOfThread());
  const std::lock_guard lock(shard.mutex_);
  ++shard.counters_[std::string(aName)][std::string(aLabel)];
}

std::map<std::string, std::uint64_t> Metrics::Counts(
  const std::string& aName) const
{
  std::map<std::string, std::uint64_t> sums;
  for (const Impl::Shard& shard : impl_->shards_) {
    const std::lock_guard lock(shard.mutex_);
    const auto found = shard.counters_.find(aName);
    if (found != shard.counters_.end()) {
      for (const auto& [label, count] : found->second) {
        sums[label] += count;
      }
    }
  }
  return sums;
}

FirstTokenHistogram Metrics::FirstTokens() const
{
  FirstTokenHistogram merged;
  for (const Impl::Shard& shard : impl_->shards_) {
    const std::lock_guard lock(shard.mutex_);
    merged.Merge(shard.firstToken_);
  }
  return merged;
}

std::string Metrics::Text() const
{
  std::map<std::string, std::map<std::string, std::uint64_t>> counters;
  for (const Impl::Shard& shard : impl_->shards_) {
    const std::lock_guard lock(shard.mutex_);
    for (const auto& [name, series] : shard.counters_) {
      for (const auto& [label, count] : series) {
        counters[name][label] += count;
      }
    }
  }
  std::ostringstream out;
  for (const auto& [name, series] : counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [label, count] : series) {
      out << name << (label.empty() ? "" : "{" + label + "}") << ' ' << count
          << '\n';
    }
  }
  out << "# TYPE gooseberrylift_log_lines_unwritten_total counter\n"
      << "gooseberrylift_log_lines_unwritten_total " << CountUnwrittenLogLines()
      << "\n# TYPE gooseberrylift_first_token_seconds histogram\n";
  std::map<SeriesKey, SeriesBins> series;
  for (const FirstTokenHistogram::Bin& bin : FirstTokens().NonEmptyBins()) {
    series[{ bin.service_, bin.band_ }][bin.bin_] = bin.count_;
  }
  for (const auto& [key, bins] : series) {
    WriteSeries(out, key, bins);
  }
  return out.str();
}

} // namespace gooseberrylift
