// What a host says of its load, as datagrams.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_WORD_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_WORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

namespace gooseberrylift {

// One host's word, or a part of it.
struct LoadWord
{
  std::string host_;
  std::uint64_t sequence_ = 0; // rises with each word, also over restarts
  bool first_ = true;          // the others add to this part
  std::vector<EndpointShare> shares_;
};

/// Encodes a word, in as many datagrams as it needs, each small enough for one
/// packet.
std::vector<std::string> EncodeLoadWord(const LoadWord& aWord);

/// Decodes a datagram.
/// @return nothing when it is none
std::optional<LoadWord> DecodeLoadWord(std::string_view aBytes);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_WORD_H_
