// Predicts the engine time of a prompt. Prompts on the same engines range from
// a thousand to a million tokens, and their times differ by a factor of two
// thousand. Counting requests instead would rate an endpoint with few requests
// as idle even when one of them has a million tokens.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_COST_MODEL_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_COST_MODEL_H_

#include <array>
#include <chrono>
#include <cstdint>

namespace gooseberrylift {

// Models prefill time as a*n + b*n^2, fitted to observed times by recursive
// least squares, and decode time as a moving average per token. Not
// thread-safe.
class CostModel
{
public:
  struct Options
  {
    // Initial coefficients: the order of magnitude of one accelerator with a
    // model of about ten billion parameters. About a hundred observations
    // override them.
    double linearUsPerToken_ = 3.0;
    double quadraticUsPerTokenSquared_ = 1.0e-6;
    std::chrono::microseconds decodePerToken_{ 15'000 };
    // Each new observation scales the weight of older ones by 0.99, so that the
    // fit adapts to a change of model within a few hundred requests.
    double forgettingFactor_ = 0.99;
  };

  explicit CostModel(Options aOptions);

  /// Predicts the prefill time of a prompt on an otherwise idle engine.
  std::chrono::microseconds Prefill(std::uint64_t aTokens) const;

  /// Predicts the time to generate tokens after the first.
  std::chrono::microseconds Decode(std::uint64_t aTokens) const;

  /// Updates the model with the prefill time of a prompt on an idle engine.
  void OnPrefill(std::uint64_t aTokens, std::chrono::microseconds aDuration);

  /// Updates the model with the time between the first and the last token.
  void OnDecode(std::uint64_t aTokens, std::chrono::microseconds aDuration);

private:
  Options options_;
  std::array<double, 2> coefficients_; // ms per 10k tokens, and per its square
  std::array<std::array<double, 2>, 2> covariance_;
  double decodeUsPerToken_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_COST_MODEL_H_
