#include "gooseberrylift/gooseberrylift-cost-model.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

namespace {

// Prompt lengths are scaled to units of ten thousand tokens, so that both
// features are of the order of one and the fit stays well conditioned.
constexpr double kTokensPerUnit = 10'000;
constexpr double kInitialLinearVariance = 100;
constexpr double kInitialQuadraticVariance = 1;

// The fit weights prompts below this length by absolute error and longer ones
// by relative error. Otherwise the round-trip time included in short prompts
// distorts the slope for long ones, and the first long review was refused
// because its predicted cost was minutes.
constexpr double kShortPromptTokens = 8000;
constexpr double kDecodeGain = 0.05;

std::array<double, 2> Features(std::uint64_t aTokens)
{
  const double length = static_cast<double>(aTokens) / kTokensPerUnit;
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
  , coefficients_{ aOptions.linearUsPerToken_ * kTokensPerUnit / 1000,
                   aOptions.quadraticUsPerTokenSquared_ * kTokensPerUnit *
                     kTokensPerUnit / 1000 }
  , covariance_{ { { kInitialLinearVariance, 0 },
                   { 0, kInitialQuadraticVariance } } }
  , decodeUsPerToken_(static_cast<double>(aOptions.decodePerToken_.count()))
{
}

std::chrono::microseconds CostModel::Prefill(std::uint64_t aTokens) const
{
  const auto features = Features(aTokens);
  return FromMs(std::max(
    0.0, coefficients_[0] * features[0] + coefficients_[1] * features[1]));
}

std::chrono::microseconds CostModel::Decode(std::uint64_t aTokens) const
{
  return std::chrono::microseconds(static_cast<std::int64_t>(
    decodeUsPerToken_ * static_cast<double>(aTokens)));
}

void CostModel::OnPrefill(std::uint64_t aTokens,
                          std::chrono::microseconds aDuration)
{
  const double weight =
    kTokensPerUnit / std::max(kShortPromptTokens, static_cast<double>(aTokens));
  auto x = Features(aTokens);
  x[0] *= weight;
  x[1] *= weight;
  const double error = ToMs(aDuration) * weight -
                       (coefficients_[0] * x[0] + coefficients_[1] * x[1]);
  const std::array<double, 2> px = {
    covariance_[0][0] * x[0] + covariance_[0][1] * x[1],
    covariance_[1][0] * x[0] + covariance_[1][1] * x[1]
  };
  const double scale = options_.forgettingFactor_ + x[0] * px[0] + x[1] * px[1];
  // Forgetting is suspended once the quadratic variance is back at its initial
  // value. Otherwise the slope for long prompts drifts while only short ones
  // arrive, until the first long one is refused at a predicted cost of minutes.
  const double quadratic = covariance_[1][1] - px[1] * px[1] / scale;
  const bool converged =
    quadratic < kInitialQuadraticVariance * options_.forgettingFactor_;
  const double forgetting = converged ? options_.forgettingFactor_ : 1;
  for (std::size_t row = 0; row < 2; ++row) {
    coefficients_[row] =
      std::max(0.0, coefficients_[row] + px[row] / scale * error);
    for (std::size_t column = 0; column < 2; ++column) {
      covariance_[row][column] =
        (covariance_[row][column] - px[row] * px[column] / scale) / forgetting;
    }
  }
}

void CostModel::OnDecode(std::uint64_t aTokens,
                         std::chrono::microseconds aDuration)
{
  if (aTokens < 2) {
    return;
  }
  const double perTokenUs =
    static_cast<double>(aDuration.count()) / static_cast<double>(aTokens - 1);
  decodeUsPerToken_ += kDecodeGain * (perTokenUs - decodeUsPerToken_);
}

} // namespace gooseberrylift
