#include "gooseberrylift-response-head.h"

#include <string>

#include <boost/beast/http/rfc7230.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Returns whether the body is as the endpoint made it once the parser has taken
// chunks apart. The parser undoes no other transfer coding, and reads a body
// whose last one isn't "chunked" up to the close of the connection.
bool IsBodyDecoded(const http::fields& aFields)
{
  const auto [begin, end] = aFields.equal_range(http::field::transfer_encoding);
  std::size_t codings = 0;
  for (auto field = begin; field != end; ++field) {
    if (!http::validate_list(http::opt_token_list(field->value()))) {
      return false;
    }
    for (const beast::string_view coding :
         http::opt_token_list(field->value())) {
      ++codings;
      if (!beast::iequals(coding, "chunked")) {
        return false;
      }
    }
  }
  return codings <= 1;
}

} // namespace

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
  if (!IsBodyDecoded(aHead)) {
    return Error{ .code_ = ResultCode::kEndpointBroken,
                  .text_ = "unsupported transfer coding",
                  .ran_ = RanState::kUnknown };
  }
  return std::nullopt;
}

} // namespace gooseberrylift
