// Datagrams in which hosts exchange, several times a second, how much of the
// store's state each of them has.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_STATUS_MESSAGE_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_STATUS_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberrylift/membership/gooseberrylift-store-view.h"

namespace gooseberrylift {

// A request or its response. Both carry the sender's status. The proof age is
// used only in a response, and counted back from when the request was sent.
struct StoreStatusMessage
{
  std::string host_;
  std::uint64_t requestId_ = 0; // random; echoed in the response
  bool isResponse_ = false;
  StoreStatus storeStatus_;
};

/// Encodes a message, small enough for one packet.
std::string EncodeStoreStatusMessage(const StoreStatusMessage& aMessage);

/// Decodes a message.
/// @return nothing if the bytes are not a valid message
std::optional<StoreStatusMessage> DecodeStoreStatusMessage(
  std::string_view aBytes);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_STATUS_MESSAGE_H_
