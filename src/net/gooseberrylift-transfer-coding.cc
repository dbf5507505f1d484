#include "gooseberrylift-transfer-coding.h"

#include <boost/beast/http/rfc7230.hpp>

namespace gooseberrylift {

namespace beast = boost::beast;
namespace http = beast::http;

bool IsTransferCodingSupported(const http::fields& aFields)
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
  return begin == end || codings == 1;
}

} // namespace gooseberrylift
