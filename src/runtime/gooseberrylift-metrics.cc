#include "gooseberrylift/internal/gooseberrylift-metrics.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <sstream>

#include <boost/histogram.hpp>

namespace gooseberrylift {

namespace bh = boost::histogram;
using namespace bh::literals; // 0_c names an axis

namespace {

constexpr std::size_t kShards = 8;
constexpr std::array<const char*, 5> kBands = { "le4k",
                                                "le10k",
                                                "le100k",
                                                "le1M",
                                                "over1M" };

// In tokens.
constexpr std::array<double, 6> kBandEdges = { 0,       4096,      10'240,
                                               102'400, 1'048'576, 1e12 };

// Times are in seconds: a millisecond to five minutes in steps of a quarter.
auto MakeHistogram()
{
  using Growing = bh::axis::
    category<std::string, bh::use_default, bh::axis::option::growth_t>;
  return bh::make_histogram(
    Growing(),
    bh::axis::variable<>(kBandEdges),
    bh::axis::regular<double, bh::axis::transform::log>(56, 0.001, 300.0));
}

using FirstTokenHistogram = decltype(MakeHistogram());

// A thread keeps the shard that it got first, so that threads seldom meet.
std::size_t ShardOfThread()
{
  static std::atomic<std::size_t> sNext = 0;
  thread_local const std::size_t kMine = sNext++ % kShards;
  return kMine;
}

void WriteSeries(std::ostream& aOut,
                 const FirstTokenHistogram& aHistogram,
                 int aService,
                 int aBand)
{
  const std::string labels =
    "service=\"" + aHistogram.axis(0_c).value(aService) + "\",prompt=\"" +
    kBands.at(static_cast<std::size_t>(aBand)) + "\"";
  const auto& times = aHistogram.axis(2_c);
  double total = 0;
  double sum = 0;
  std::ostringstream buckets;
  for (int bin = -1; bin <= times.size(); ++bin) {
    const double count = aHistogram.at(aService, aBand, bin);
    total += count;
    const bool last = bin == times.size();
    sum += count * (last ? 300.0 : times.bin(bin).upper());
    buckets << "gooseberrylift_first_token_seconds_bucket{" << labels
            << ",le=\"";
    last ? buckets << "+Inf" : buckets << times.bin(bin).upper();
    buckets << "\"} " << total << '\n';
  }
  if (total > 0) {
    aOut << buckets.str() << "gooseberrylift_first_token_seconds_sum{" << labels
         << "} " << sum << "\ngooseberrylift_first_token_seconds_count{"
         << labels << "} " << total << '\n';
  }
}

} // namespace

class Metrics::Impl
{
public:
  struct Shard
  {
    mutable std::mutex mutex_;
    FirstTokenHistogram firstToken_ = MakeHistogram();
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
  const std::chrono::duration<double> seconds = aTime;
  const std::lock_guard lock(shard.mutex_);
  shard.firstToken_(
    std::string(aService), static_cast<double>(aPromptTokens), seconds.count());
}

void Metrics::Count(std::string_view aName, std::string_view aLabel)
{
  Impl::Shard& shard = impl_->shards_.at(ShardOfThread());
  const std::lock_guard lock(shard.mutex_);
  ++shard.counters_[std::string(aName)][std::string(aLabel)];
}

std::string Metrics::Text() const
{
  auto firstToken = MakeHistogram();
  std::map<std::string, std::map<std::string, std::uint64_t>> counters;
  for (const Impl::Shard& shard : impl_->shards_) {
    const std::lock_guard lock(shard.mutex_);
    firstToken += shard.firstToken_;
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
  out << "# TYPE gooseberrylift_first_token_seconds histogram\n";
  for (int service = 0; service < firstToken.axis(0_c).size(); ++service) {
    for (int band = 0; band < firstToken.axis(1_c).size(); ++band) {
      WriteSeries(out, firstToken, service, band);
    }
  }
  return out.str();
}

} // namespace gooseberrylift
