#include "gooseberrylift/membership/gooseberrylift-store-status-message.h"

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"

namespace gooseberrylift {

using nlohmann::json;

namespace {

// Encodes a missing age.
constexpr std::int64_t kNoAge = -1;

std::int64_t EncodeAge(std::optional<std::chrono::milliseconds> aAge)
{
  return aAge ? aAge->count() : kNoAge;
}

std::optional<std::chrono::milliseconds> DecodeAge(std::int64_t aAge)
{
  return aAge < 0 ? std::nullopt
                  : std::optional(std::chrono::milliseconds(aAge));
}

} // namespace

std::string EncodeStoreStatusMessage(const StoreStatusMessage& aMessage)
{
  const StoreStatus& status = aMessage.storeStatus_;
  const json message = json::array({ aMessage.host_,
                                     aMessage.requestId_,
                                     aMessage.isResponse_,
                                     status.routes_,
                                     status.endpoints_,
                                     EncodeAge(status.proofAge_),
                                     status.evacuations_,
                                     EncodeAge(status.endpointsAge_) });
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

std::optional<StoreStatusMessage> DecodeStoreStatusMessage(
  std::string_view aBytes)
{
  const json message = ParseCbor(aBytes);
  if (message.is_discarded()) {
    return std::nullopt;
  }
  try {
    StoreStatusMessage decoded{ .host_ = message.at(0),
                                .requestId_ = message.at(1),
                                .isResponse_ = message.at(2),
                                .storeStatus_ = {
                                  .routes_ = message.at(3),
                                  .endpoints_ = message.at(4),
                                  .proofAge_ = DecodeAge(message.at(5)) } };
    // Earlier versions send fewer fields.
    if (message.size() > 6) {
      decoded.storeStatus_.evacuations_ = message.at(6);
    }
    if (message.size() > 7) {
      decoded.storeStatus_.endpointsAge_ = DecodeAge(message.at(7));
    }
    return decoded;
  } catch (const json::exception&) {
    return std::nullopt; // from an incompatible version
  }
}

} // namespace gooseberrylift
