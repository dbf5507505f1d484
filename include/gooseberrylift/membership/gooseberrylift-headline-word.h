// What hosts ask and tell each other of the store many times a second, in
// datagrams.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_HEADLINE_WORD_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_HEADLINE_WORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberrylift/membership/gooseberrylift-store-view.h"

namespace gooseberrylift {

// A question, or the answer to one. Both carry what their sender knows; only
// an answer's proof counts, by the time at which its question was sent.
struct HeadlineWord
{
  std::string host_;
  std::uint64_t question_ = 0; // a random number, the same in the answer
  bool isAnswer_ = false;
  StoreHeadline headline_;
};

/// Encodes a word, small enough for one packet.
std::string EncodeHeadlineWord(const HeadlineWord& aWord);

/// Decodes a word.
/// @return nothing when it is none
std::optional<HeadlineWord> DecodeHeadlineWord(std::string_view aBytes);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_HEADLINE_WORD_H_
