// Datagrams in which hosts exchange, several times a second, how much of the
// store's state each of them has.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_HEADLINE_WORD_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_HEADLINE_WORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberrylift/membership/gooseberrylift-store-view.h"

namespace gooseberrylift {

// A request or its response. Both carry the sender's status. The proof age is
// used only in a response, and counted back from when the request was sent.
struct HeadlineWord
{
  std::string host_;
  std::uint64_t question_ = 0; // random; echoed in the response
  bool isAnswer_ = false;
  StoreHeadline headline_;
};

/// Encodes a message, small enough for one packet.
std::string EncodeHeadlineWord(const HeadlineWord& aMessage);

/// Decodes a message.
/// @return nothing if the bytes are not a valid message
std::optional<HeadlineWord> DecodeHeadlineWord(std::string_view aBytes);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_HEADLINE_WORD_H_
