#include "gooseberrylift/gooseberrylift-cost-model.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

namespace {

// Lengths are counted in units of ten thousand tokens, so that both features
// are of the order of one and the fit stays well conditioned.
constexpr double kUnit = 10'000;
constexpr double kLinearVariance = 100;
constexpr double kQuadraticVariance = 1;

// Prompts below this length count by their error in time, longer ones by their
// relative error: the round trip in a short one's time must not bend the slope
// of the long ones (seen: a first review refused for a cost of minutes).
constexpr double kShort = 8000;
constexpr double kDecodeGain = 0.05;

std::array<double, 2> Features(std::uint64_t aTokens)
{
  const double length = static_cast<double>(aTokens) / kUnit;
  return { length, length * length };
}

std::chrono::microseconds FromMs(double aMs)
{
  return std::chrono::microseconds(static_cast<std::int64_t>(aMs * 1000));
}

double ToMs(std::chrono::microseconds aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

} // namespace

CostModel::CostModel(Options aOptions)
  : options_(aOptions)
  , factors_{ aOptions.linearUs_ * kUnit / 1000,
              aOptions.quadraticUs_ * kUnit * kUnit / 1000 }
  , covariance_{ { { kLinearVariance, 0 }, { 0, kQuadraticVariance } } }
  , perTokenUs_(static_cast<double>(aOptions.perToken_.count()))
{
}

std::chrono::microseconds CostModel::Prefill(std::uint64_t aTokens) const
{
  const auto features = Features(aTokens);
  return FromMs(
    std::max(0.0, factors_[0] * features[0] + factors_[1] * features[1]));
}

std::chrono::microseconds CostModel::Decode(std::uint64_t aTokens) const
{
  return std::chrono::microseconds(
    static_cast<std::int64_t>(perTokenUs_ * static_cast<double>(aTokens)));
}

void CostModel::OnPrefill(std::uint64_t aTokens,
                          std::chrono::microseconds aTook)
{
  const double weight = kUnit / std::max(kShort, static_cast<double>(aTokens));
  auto x = Features(aTokens);
  x[0] *= weight;
  x[1] *= weight;
  const double error =
    ToMs(aTook) * weight - (factors_[0] * x[0] + factors_[1] * x[1]);
  const std::array<double, 2> px = {
    covariance_[0][0] * x[0] + covariance_[0][1] * x[1],
    covariance_[1][0] * x[0] + covariance_[1][1] * x[1]
  };
  const double scale = options_.forgetting_ + x[0] * px[0] + x[1] * px[1];
  // Forgetting what no new observation replaces would let the slope of long
  // prompts drift while only short ones come, until the first long one is
  // refused for a cost of minutes; so the uncertainty never outgrows its start.
  const double quadratic = covariance_[1][1] - px[1] * px[1] / scale;
  const bool known = quadratic < kQuadraticVariance * options_.forgetting_;
  const double forgetting = known ? options_.forgetting_ : 1;
  for (std::size_t row = 0; row < 2; ++row) {
    factors_[row] = std::max(0.0, factors_[row] + px[row] / scale * error);
    for (std::size_t column = 0; column < 2; ++column) {
      covariance_[row][column] =
        (covariance_[row][column] - px[row] * px[column] / scale) / forgetting;
    }
  }
}

void CostModel::OnDecode(std::uint64_t aTokens, std::chrono::microseconds aTook)
{
  if (aTokens < 2) {
    return;
  }
  const double each =
    static_cast<double>(aTook.count()) / static_cast<double>(aTokens - 1);
  perTokenUs_ += kDecodeGain * (each - perTokenUs_);
}

} // namespace gooseberrylift
