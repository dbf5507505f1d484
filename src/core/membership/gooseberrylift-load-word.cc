#include "gooseberrylift/membership/gooseberrylift-load-word.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

// The parts of a datagram by number; the last two are there only when the word
// is of a zone.
constexpr std::size_t kZonePart = 4;
constexpr std::size_t kPassOnPart = 5;

// The numbers on the wire; they never change their meaning.
constexpr int kWireMore = 0;
constexpr int kWireFirst = 1;
constexpr int kWireChange = 2;

json ShareToJson(const EndpointShare& aShare)
{
  return json::array({ aShare.id_,
                       aShare.running_,
                       aShare.tight_,
                       aShare.memoryTokens_,
                       aShare.backlog_.count(),
                       aShare.deferred_,
                       aShare.silent_.count() });
}

EndpointShare ShareFromJson(const json& aItem)
{
  return { .id_ = aItem.at(0),
           .running_ = aItem.at(1),
           .tight_ = aItem.at(2),
           .memoryTokens_ = aItem.at(3),
           .backlog_ =
             std::chrono::microseconds(aItem.at(4).get<std::int64_t>()),
           .deferred_ = aItem.at(5),
           .silent_ =
             std::chrono::milliseconds(aItem.at(6).get<std::int64_t>()) };
}

int WireOf(LoadWordPart aPart, bool aBegins)
{
  switch (aPart) {
    case LoadWordPart::kChange:
      return kWireChange;
    case LoadWordPart::kMore:
      return kWireMore;
    case LoadWordPart::kFirst:
      break;
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
  json part = json::array({ aWord.host_,
                            aWord.sequence_,
                            WireOf(aWord.part_, aBegin == 0),
                            std::move(shares) });
  if (!aWord.zone_.empty()) {
    part.push_back(aWord.zone_);
    part.push_back(aWord.passOn_);
  }
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
    if (part.size() > kPassOnPart) {
      word.zone_ = part.at(kZonePart);
      word.passOn_ = part.at(kPassOnPart);
    }
    for (const json& share : part.at(3)) {
      word.shares_.push_back(ShareFromJson(share));
    }
    return word;
  } catch (const json::exception&) {
    return std::nullopt; // its sender speaks another version
  }
}

} // namespace gooseberrylift
