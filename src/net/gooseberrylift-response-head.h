// Checks of the head of a response before anything in it is trusted.

#ifndef GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_RESPONSE_HEAD_H_
#define GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_RESPONSE_HEAD_H_

#include <optional>

#include <boost/beast/http/message.hpp>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

/// Checks what the parser leaves to its user: whether the status is that of a
/// final response, and whether its body comes in no transfer coding but chunks.
/// @return why the response is rejected, with ran_ kUnknown; nothing if it may
/// be read
std::optional<Error> CheckResponseHead(
  const boost::beast::http::response_header<>& aHead);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_RESPONSE_HEAD_H_
