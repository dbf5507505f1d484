// The deterministic response of the fake engine to a prompt. A test compares a
// response with it to detect truncated, duplicated or misrouted output.

#ifndef GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_TOKENS_H_
#define GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_TOKENS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <xxhash.h>

namespace gooseberrylift::fakes {

constexpr std::uint64_t kBytesPerToken = 4;

inline std::uint64_t CountTokens(std::string_view aPrompt)
{
  return (aPrompt.size() + kBytesPerToken - 1) / kBytesPerToken;
}

/// Returns the token at an index of the response to a prompt.
inline std::string ReferenceToken(std::string_view aPrompt,
                                  std::uint64_t aIndex)
{
  const std::uint64_t hash = XXH3_64bits(aPrompt.data(), aPrompt.size());
  return "w" +
         std::to_string((hash ^ (aIndex * 0x9e3779b97f4a7c15ULL)) % 9973) + " ";
}

/// Returns the complete response to a prompt.
inline std::string ReferenceAnswer(std::string_view aPrompt,
                                   std::uint64_t aTokens)
{
  std::string answer;
  for (std::uint64_t index = 0; index < aTokens; ++index) {
    answer += ReferenceToken(aPrompt, index);
  }
  return answer;
}

} // namespace gooseberrylift::fakes

#endif // GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_TOKENS_H_
