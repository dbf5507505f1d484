// Classifies prompts by length. Times to first token are comparable only within
// a band.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_PROMPT_BAND_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_PROMPT_BAND_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace gooseberrylift {

struct PromptBand
{
  const char* name_;
  std::uint64_t maxTokens_; // tokens, inclusive
};

// The bounds match the prompt lengths for which objectives are defined.
inline constexpr std::array<PromptBand, 5> kPromptBands = { {
  { "le4k", 4'096 },
  { "le10k", 10'240 },
  { "le100k", 102'400 },
  { "le1M", 1'048'576 },
  { "over1M", UINT64_MAX },
} };

/// Returns the index in kPromptBands for a prompt length in tokens.
constexpr std::size_t PromptBandIndex(std::uint64_t aPromptTokens)
{
  return static_cast<std::size_t>(
    std::find_if(kPromptBands.begin(),
                 kPromptBands.end(),
                 [aPromptTokens](const PromptBand& aBand) {
                   return aPromptTokens <= aBand.maxTokens_;
                 }) -
    kPromptBands.begin());
}

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_PROMPT_BAND_H_
