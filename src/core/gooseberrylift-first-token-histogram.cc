#include "gooseberrylift/gooseberrylift-first-token-histogram.h"

#include <algorithm>
#include <tuple>

#include <boost/histogram.hpp>

#include "gooseberrylift/gooseberrylift-prompt-band.h"

namespace gooseberrylift {

namespace bh = boost::histogram;
using namespace bh::literals; // 0_c is an axis index

namespace {

constexpr int kBins = 56;
constexpr double kLowest = 0.001; // seconds
constexpr double kHighest = 300.0;

using TimeAxis = bh::axis::regular<double, bh::axis::transform::log>;
using BandAxis =
  bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using ServiceAxis =
  bh::axis::category<std::string, bh::use_default, bh::axis::option::growth_t>;

const TimeAxis& TimeBins()
{
  static const TimeAxis kTimes(kBins, kLowest, kHighest);
  return kTimes;
}

auto MakeHistogram()
{
  return bh::make_histogram_with(
    bh::dense_storage<std::uint64_t>(),
    ServiceAxis(),
    BandAxis(0, static_cast<int>(kPromptBands.size())),
    TimeAxis(kBins, kLowest, kHighest));
}

} // namespace

class FirstTokenHistogram::Impl
{
public:
  decltype(MakeHistogram()) histogram_ = MakeHistogram();
};

FirstTokenHistogram::FirstTokenHistogram()
  : impl_(std::make_unique<Impl>())
{
}

FirstTokenHistogram::~FirstTokenHistogram() = default;
FirstTokenHistogram::FirstTokenHistogram(FirstTokenHistogram&&) noexcept =
  default;
FirstTokenHistogram& FirstTokenHistogram::operator=(
  FirstTokenHistogram&&) noexcept = default;

void FirstTokenHistogram::Record(const std::string& aService,
                                 std::uint64_t aPromptTokens,
                                 std::chrono::microseconds aTime)
{
  const std::chrono::duration<double> seconds = aTime;
  impl_->histogram_(aService,
                    static_cast<int>(PromptBandIndex(aPromptTokens)),
                    seconds.count());
}

void FirstTokenHistogram::Merge(const FirstTokenHistogram& aOther)
{
  impl_->histogram_ += aOther.impl_->histogram_;
}

void FirstTokenHistogram::Add(const Bin& aBin)
{
  if (aBin.band_ >= kPromptBands.size() || aBin.bin_ < -1 ||
      aBin.bin_ > kBins) {
    return;
  }
  // Any time inside the bin selects it; the weight carries its count.
  const double time =
    aBin.bin_ < 0 ? 0 : TimeBins().value(static_cast<double>(aBin.bin_) + 0.5);
  impl_->histogram_(
    bh::weight(aBin.count_), aBin.service_, static_cast<int>(aBin.band_), time);
}

std::vector<FirstTokenHistogram::Bin> FirstTokenHistogram::NonEmptyBins() const
{
  std::vector<Bin> bins;
  for (auto&& cell : bh::indexed(impl_->histogram_, bh::coverage::all)) {
    if (*cell > 0) {
      bins.push_back(
        { .service_ = impl_->histogram_.axis(0_c).value(cell.index(0)),
          .band_ = static_cast<std::size_t>(cell.index(1)),
          .bin_ = cell.index(2),
          .count_ = *cell });
    }
  }
  std::sort(bins.begin(), bins.end(), [](const Bin& aLeft, const Bin& aRight) {
    return std::tie(aLeft.service_, aLeft.band_, aLeft.bin_) <
           std::tie(aRight.service_, aRight.band_, aRight.bin_);
  });
  return bins;
}

std::optional<std::chrono::duration<double>> FirstTokenHistogram::Quantile(
  const std::string& aService,
  std::size_t aBand,
  double aShare) const
{
  std::vector<Bin> bins = NonEmptyBins();
  std::erase_if(bins, [&](const Bin& aBin) {
    return aBin.service_ != aService || aBin.band_ != aBand;
  });
  std::uint64_t total = 0;
  for (const Bin& bin : bins) {
    total += bin.count_;
  }
  std::uint64_t below = 0;
  for (const Bin& bin : bins) {
    below += bin.count_;
    if (static_cast<double>(below) >= aShare * static_cast<double>(total)) {
      return bin.bin_ == kBins ? std::nullopt
                               : std::optional(UpperEdge(bin.bin_));
    }
  }
  return std::nullopt;
}

int FirstTokenHistogram::BinCount()
{
  return kBins;
}

std::chrono::duration<double> FirstTokenHistogram::UpperEdge(int aBin)
{
  return std::chrono::duration<double>(aBin < 0 ? kLowest
                                                : TimeBins().bin(aBin).upper());
}

} // namespace gooseberrylift
