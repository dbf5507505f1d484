// Declared performance of the engines of a service, and the prefill and
// decoding times derived from it. Prompts range from a thousand to a million
// tokens, and engines interleave chunks of prefill with the decoding of other
// requests. Counting requests alone would treat a prompt that takes seconds to
// prefill like one that takes 20 ms.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENGINE_PROFILE_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENGINE_PROFILE_H_

#include <chrono>
#include <cstdint>

namespace gooseberrylift {

// An engine works in passes. A pass with decoding requests runs stepsPerPass_
// steps, each of which generates one token for every decoding request; prompts
// are prefilled within passes.
struct EngineProfile
{
  int slots_ = 1;                  // concurrent requests
  std::uint64_t memoryTokens_ = 0; // KV cache capacity; 0: not declared
  double stepMs_ = 0;              // base time of a decoding step
  double stepPerSequenceMs_ = 0;   // added for each decoding request
  double stepPerThousandMs_ = 0;   // added for each 1,000 tokens of context
  double prefillTokensPerMs_ = 1;  // linear part of prefill
  double prefillMsPerMillionPairs_ = 0; // quadratic: token and an earlier one
  std::uint64_t prefillTokensPerStep_ = 0; // chunk size; 0: unlimited
  int stepsPerPass_ = 1;         // steps of a pass with decoding requests
  double crossEngineStepMs_ = 0; // added to each step of a multi-engine request
  std::uint64_t typicalAnswerTokens_ = 0;

  /// Returns the prefill time of a prompt that is split evenly between engines.
  /// @param aTokens prompt length
  /// @param aEngines number of engines that share the prefill, at least 1
  std::chrono::microseconds PrefillTime(std::uint64_t aTokens,
                                        int aEngines = 1) const;

  /// Returns the duration of one pass without prefill.
  /// @param aDecoding number of decoding requests, at most slots_
  /// @param aContextTokens total context length of the decoding requests
  std::chrono::microseconds PassTime(int aDecoding,
                                     std::uint64_t aContextTokens) const;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENGINE_PROFILE_H_
