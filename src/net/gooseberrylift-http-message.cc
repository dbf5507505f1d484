#include "gooseberrylift-http-message.h"

#include <boost/asio/error.hpp>

#include "gooseberrylift/gooseberrylift-drain-policy.h"
#include "gooseberrylift/limits/gooseberrylift-memory-budget.h"

namespace gooseberrylift {

namespace http = boost::beast::http;

std::optional<Error> MakeReadError(const boost::system::error_code& aCode,
                                   bool aTimedOut,
                                   bool aStopping)
{
  if (aTimedOut) {
    return MakeError(ResultCode::kCallerTooSlow);
  }
  if (aCode == boost::asio::error::no_memory) {
    return MakeMemoryFullError();
  }
  if (aStopping && aCode == boost::asio::error::operation_aborted) {
    Error error = MakeError(ResultCode::kShuttingDown);
    error.retryAfter_ = kStopRetryDelay;
    return error;
  }
  const bool isHttpError =
    aCode.category() ==
    http::make_error_code(http::error::bad_method).category();
  if (!isHttpError || aCode == http::error::end_of_stream) {
    return std::nullopt;
  }
  if (aCode == http::error::body_limit) {
    return MakeError(ResultCode::kBodyTooLarge);
  }
  if (aCode == http::error::header_limit ||
      aCode == http::error::buffer_overflow) {
    return MakeError(ResultCode::kHeadersTooLarge);
  }
  return MakeError(ResultCode::kMalformedHttp, aCode.message());
}

HttpRequest ToHttpRequest(const http::request_header<>& aHead)
{
  HttpRequest request{ .method_ = std::string(aHead.method_string()),
                       .target_ = std::string(aHead.target()) };
  for (const auto& field : aHead) {
    request.fields_.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return request;
}

} // namespace gooseberrylift
