#include "gooseberrylift/membership/gooseberrylift-load-word.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-digest-codec.h"

namespace gooseberrylift {

using nlohmann::json;

namespace {

// A share takes some 35 bytes, and a packet bears 1,400.
constexpr std::size_t kSharesPerDatagram = 32;

// The numbers on the wire; they never change their meaning.
constexpr int kWireMore = 0;
constexpr int kWireFirst = 1;
constexpr int kWireChange = 2;

int WireOf(LoadWordPart aPart, bool aBegins)
{
  if (aPart == LoadWordPart::kChange) {
    return kWireChange;
  }
  return aBegins ? kWireFirst : kWireMore;
}

LoadWordPart PartOf(int aWire)
{
  if (aWire == kWireChange) {
    return LoadWordPart::kChange;
  }
  return aWire == kWireFirst ? LoadWordPart::kFirst : LoadWordPart::kMore;
}

std::string EncodePart(const LoadWord& aWord,
                       std::size_t aBegin,
                       std::size_t aEnd)
{
  json shares = json::array();
  for (std::size_t index = aBegin; index < aEnd; ++index) {
    shares.push_back(ShareToJson(aWord.shares_[index]));
  }
  const json part = json::array({ aWord.host_,
                                  aWord.sequence_,
                                  WireOf(aWord.part_, aBegin == 0),
                                  std::move(shares) });
  std::string bytes;
  json::to_cbor(part, bytes);
  return bytes;
}

} // namespace

std::vector<std::string> EncodeLoadWord(const LoadWord& aWord)
{
  std::vector<std::string> datagrams;
  std::size_t begin = 0;
  do {
    const std::size_t end =
      std::min(begin + kSharesPerDatagram, aWord.shares_.size());
    datagrams.push_back(EncodePart(aWord, begin, end));
    begin = end;
  } while (begin < aWord.shares_.size());
  return datagrams;
}

std::optional<LoadWord> DecodeLoadWord(std::string_view aBytes)
{
  const json part = json::from_cbor(aBytes, true, false);
  if (part.is_discarded()) {
    return std::nullopt;
  }
  try {
    LoadWord word{ .host_ = part.at(0),
                   .sequence_ = part.at(1),
                   .part_ = PartOf(part.at(2)) };
    for (const json& share : part.at(3)) {
      word.shares_.push_back(ShareFromJson(share));
    }
    return word;
  } catch (const json::exception&) {
    return std::nullopt; // its sender speaks another version
  }
}

} // namespace gooseberrylift
