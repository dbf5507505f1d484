// What a host says of its load, as datagrams.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_WORD_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_WORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

namespace gooseberrylift {

// A share takes some 35 bytes, and a packet bears 1,400.
inline constexpr std::size_t kSharesPerDatagram = 30;

// What a datagram holds.
enum class LoadWordPart
{
  kFirst,  // of all that the host has in work
  kMore,   // of the same, added to the first
  kChange, // only the endpoints at which something was placed
};

// One host's word, or a part of it.
struct LoadWord
{
  std::string host_;
  std::uint64_t sequence_ = 0; // rises with each word, also over restarts
  LoadWordPart part_ = LoadWordPart::kFirst;
  std::vector<EndpointShare> shares_;
  // Set when the word is of all hosts of an availability zone, summed up by its
  // host.
  std::string zone_{};
  // Of such a word: its receiver is to pass it on to the hosts of its own zone.
  bool passOn_ = false;
};

/// Encodes a word, in as many datagrams as it needs, each small enough for one
/// packet. Changes don't need more than one: their sender splits them.
std::vector<std::string> EncodeLoadWord(const LoadWord& aWord);

/// Decodes a datagram.
/// @return nothing when it is none
std::optional<LoadWord> DecodeLoadWord(std::string_view aBytes);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_WORD_H_
