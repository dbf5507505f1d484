// What an operator declares of the engines of a service, and the times that
// follow from it. The load it answers: prompts from a thousand to a million
// tokens on engines that read in pieces between the tokens of other requests.
// Without it a request counts as one, and a prompt that is read for seconds
// looks like one that is read in twenty milliseconds.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENGINE_FIGURES_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENGINE_FIGURES_H_

#include <chrono>
#include <cstdint>

namespace gooseberrylift {

// One engine works in passes. A pass that has writers runs stride_ steps, each
// of which gives every writer a token; prompts are read inside the passes.
struct EngineFigures
{
  int slots_ = 1;                       // requests that run at once
  std::uint64_t memoryTokens_ = 0;      // 0 when it is not declared
  double stepMs_ = 0;                   // of a step with nothing to write
  double stepPerSequenceMs_ = 0;        // more for each request that writes
  double stepPerThousandMs_ = 0;        // more for each 1,000 tokens of context
  double readTokensPerMs_ = 1;          // prompt tokens
  double readPerMillionPairsMs_ = 0;    // pairs of a token and an earlier one
  std::uint64_t readTokensPerStep_ = 0; // at most; 0 is unlimited
  int stride_ = 1;                      // steps of a pass that has writers
  double hopMs_ = 0; // more for each step of a request on several engines
  std::uint64_t usualAnswerTokens_ = 0;

  /// Gives the time to read a prompt, spread evenly over some engines.
  /// @param aTokens the prompt's length
  /// @param aEngines how many read it together, at least 1
  std::chrono::microseconds ReadTime(std::uint64_t aTokens,
                                     int aEngines = 1) const;

  /// Gives the time of one pass.
  /// @param aWriters requests that write, at most the engine's slots
  /// @param aContextTokens tokens of context of all writers together
  std::chrono::microseconds PassTime(int aWriters,
                                     std::uint64_t aContextTokens) const;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENGINE_FIGURES_H_
