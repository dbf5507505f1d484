#include "gooseberrylift/membership/gooseberrylift-headline-word.h"

#include <nlohmann/json.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

// Encodes a missing proof age.
constexpr std::int64_t kNoProofAge = -1;

} // namespace

std::string EncodeHeadlineWord(const HeadlineWord& aMessage)
{
  const StoreHeadline& headline = aMessage.headline_;
  const json message = json::array(
    { aMessage.host_,
      aMessage.question_,
      aMessage.isAnswer_,
      headline.routes_,
      headline.endpoints_,
      headline.proofAge_ ? headline.proofAge_->count() : kNoProofAge,
      headline.evacuations_ });
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

std::optional<HeadlineWord> DecodeHeadlineWord(std::string_view aBytes)
{
  const json message = json::from_cbor(aBytes, true, false);
  if (message.is_discarded()) {
    return std::nullopt;
  }
  try {
    HeadlineWord decoded{ .host_ = message.at(0),
                          .question_ = message.at(1),
                          .isAnswer_ = message.at(2),
                          .headline_ = { .routes_ = message.at(3),
                                         .endpoints_ = message.at(4) } };
    const auto age = message.at(5).get<std::int64_t>();
    if (age >= 0) {
      decoded.headline_.proofAge_ = std::chrono::milliseconds(age);
    }
    if (message.size() > 6) { // absent from earlier versions
      decoded.headline_.evacuations_ = message.at(6);
    }
    return decoded;
  } catch (const json::exception&) {
    return std::nullopt; // from an incompatible version
  }
}

} // namespace gooseberrylift
