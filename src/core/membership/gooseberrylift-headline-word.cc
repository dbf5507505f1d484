#include "gooseberrylift/membership/gooseberrylift-headline-word.h"

#include <nlohmann/json.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

// Stands for a host without a proof.
constexpr std::int64_t kNoProof = -1;

} // namespace

std::string EncodeHeadlineWord(const HeadlineWord& aWord)
{
  const StoreHeadline& headline = aWord.headline_;
  const json word =
    json::array({ aWord.host_,
                  aWord.question_,
                  aWord.isAnswer_,
                  headline.routes_,
                  headline.endpoints_,
                  headline.proofAge_ ? headline.proofAge_->count() : kNoProof,
                  headline.evacuations_ });
  std::string bytes;
  json::to_cbor(word, bytes);
  return bytes;
}

std::optional<HeadlineWord> DecodeHeadlineWord(std::string_view aBytes)
{
  const json word = json::from_cbor(aBytes, true, false);
  if (word.is_discarded()) {
    return std::nullopt;
  }
  try {
    HeadlineWord read{ .host_ = word.at(0),
                       .question_ = word.at(1),
                       .isAnswer_ = word.at(2),
                       .headline_ = { .routes_ = word.at(3),
                                      .endpoints_ = word.at(4) } };
    const auto age = word.at(5).get<std::int64_t>();
    if (age >= 0) {
      read.headline_.proofAge_ = std::chrono::milliseconds(age);
    }
    if (word.size() > 6) { // else its sender has an earlier version
      read.headline_.evacuations_ = word.at(6);
    }
    return read;
  } catch (const json::exception&) {
    return std::nullopt; // its sender speaks another version
  }
}

} // namespace gooseberrylift
