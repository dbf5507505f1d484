#include "gooseberrylift/routing/gooseberrylift-engine-profile.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

std::chrono::microseconds FromMilliseconds(double aMilliseconds)
{
  return std::chrono::microseconds(
    static_cast<std::int64_t>(aMilliseconds * 1000));
}

} // namespace

std::chrono::microseconds EngineProfile::PrefillTime(std::uint64_t aTokens,
                                                     int aEngines) const
{
  const auto tokens = static_cast<double>(aTokens);
  const double millionPairs = tokens * tokens / 2 / 1e6;
  const double wholeMs = tokens / std::max(prefillTokensPerMs_, 1e-6) +
                         millionPairs * prefillMsPerMillionPairs_;
  return FromMilliseconds(wholeMs / std::max(aEngines, 1));
}

std::chrono::microseconds EngineProfile::PassTime(
  int aDecoding,
  std::uint64_t aContextTokens) const
{
  const double step =
    stepMs_ + aDecoding * stepPerSequenceMs_ +
    static_cast<double>(aContextTokens) / 1000 * stepPerThousandMs_;
  return FromMilliseconds(step * std::max(stepsPerPass_, 1));
}

} // namespace gooseberrylift
