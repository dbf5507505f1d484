#include "gooseberrylift-response-head.h"

#include <string>

#include "gooseberrylift-transfer-coding.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

namespace http = boost::beast::http;

std::optional<Error> CheckResponseHead(const http::response_header<>& aHead)
{
  const int status = static_cast<int>(aHead.result_int());
  if (!IsValidStatus(status)) {
    return Error{ .code_ = ResultCode::kEndpointBroken,
                  .text_ = "invalid status " + std::to_string(status),
                  .ran_ = RanState::kUnknown };
  }
  // The final response may follow, where that to the next request is expected.
  if (!IsFinalStatus(status)) {
    return Error{ .code_ = ResultCode::kEndpointCrossed,
                  .text_ = "informational status " + std::to_string(status) +
                           " in place of an answer",
                  .ran_ = RanState::kUnknown };
  }
  if (!IsTransferCodingSupported(aHead)) {
    return Error{ .code_ = ResultCode::kEndpointBroken,
                  .text_ = "unsupported transfer coding",
                  .ran_ = RanState::kUnknown };
  }
  return std::nullopt;
}

} // namespace gooseberrylift
