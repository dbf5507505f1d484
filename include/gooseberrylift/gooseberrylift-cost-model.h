// Predicts what a prompt costs an engine. The load pattern it answers: prompts
// from a thousand to a million tokens on the same engines, where the time of
// one differs from another's by a factor of two thousand. Without it a request
// counts as one, so the endpoint with the fewest requests may be the one with
// a million tokens before it.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_COST_MODEL_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_COST_MODEL_H_

#include <array>
#include <chrono>
#include <cstdint>

namespace gooseberrylift {

// Prefill takes a*n + b*n^2, fitted by recursive least squares to observed
// times; decoding takes a learnt time a token. Not thread-safe.
class CostModel
{
public:
  struct Options
  {
    // Where the fit starts: the order of magnitude of one accelerator with a
    // model of some ten billion parameters. A hundred observations replace it.
    double linearUs_ = 3.0;
    double quadraticUs_ = 1.0e-6;
    std::chrono::microseconds perToken_{ 15'000 };
    // An old observation keeps 0.99 of its weight with each new one, so that
    // the fit follows a change of model within some hundred requests.
    double forgetting_ = 0.99;
  };

  explicit CostModel(Options aOptions);

  /// Predicts the time to read in a prompt on an engine that does nothing else.
  std::chrono::microseconds Prefill(std::uint64_t aTokens) const;

  /// Predicts the time to generate tokens after the first.
  std::chrono::microseconds Decode(std::uint64_t aTokens) const;

  /// Learns from a prompt that an engine read in without other work before it.
  void OnPrefill(std::uint64_t aTokens, std::chrono::microseconds aTook);

  /// Learns from the time between the first and the last token.
  void OnDecode(std::uint64_t aTokens, std::chrono::microseconds aTook);

private:
  Options options_;
  std::array<double, 2> factors_; // per Features: ms per 10k tokens, squared
  std::array<std::array<double, 2>, 2> covariance_;
  double perTokenUs_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_COST_MODEL_H_
