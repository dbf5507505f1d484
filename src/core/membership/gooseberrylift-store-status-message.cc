#include "gooseberrylift/membership/gooseberrylift-store-status-message.h"

#include <nlohmann/json.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

// Encodes a missing proof age.
constexpr std::int64_t kNoProofAge = -1;

} // namespace

std::string EncodeStoreStatusMessage(const StoreStatusMessage& aMessage)
{
  const StoreStatus& status = aMessage.storeStatus_;
  const json message =
    json::array({ aMessage.host_,
                  aMessage.requestId_,
                  aMessage.isResponse_,
                  status.routes_,
                  status.endpoints_,
                  status.proofAge_ ? status.proofAge_->count() : kNoProofAge,
                  status.evacuations_ });
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

std::optional<StoreStatusMessage> DecodeStoreStatusMessage(
  std::string_view aBytes)
{
  const json message = json::from_cbor(aBytes, true, false);
  if (message.is_discarded()) {
    return std::nullopt;
  }
  try {
    StoreStatusMessage decoded{
      .host_ = message.at(0),
      .requestId_ = message.at(1),
      .isResponse_ = message.at(2),
      .storeStatus_ = { .routes_ = message.at(3), .endpoints_ = message.at(4) }
    };
    const auto age = message.at(5).get<std::int64_t>();
    if (age >= 0) {
      decoded.storeStatus_.proofAge_ = std::chrono::milliseconds(age);
    }
    if (message.size() > 6) { // absent from earlier versions
      decoded.storeStatus_.evacuations_ = message.at(6);
    }
    return decoded;
  } catch (const json::exception&) {
    return std::nullopt; // from an incompatible version
  }
}

} // namespace gooseberrylift
