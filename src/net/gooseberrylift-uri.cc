#include "gooseberrylift/internal/gooseberrylift-uri.h"

// Compiles Boost.URL into this file.
#include <boost/url/src.hpp>

#include <boost/url/encode.hpp>
#include <boost/url/grammar/charset.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace gooseberrylift {

namespace urls = boost::urls;

bool IsUnreserved(std::string_view aText)
{
  const char* const end = aText.data() + aText.size();
  return urls::grammar::find_if_not(
           aText.data(), end, urls::unreserved_chars) == end;
}

std::string EncodeUriComponent(std::string_view aText)
{
  const urls::string_view text(aText.data(), aText.size());
  std::string encoded(urls::encoded_size(text, urls::unreserved_chars), '\0');
  urls::encode(encoded.data(), encoded.size(), text, urls::unreserved_chars);
  return encoded;
}

std::optional<std::string> DecodeUriComponent(std::string_view aText)
{
  const auto encoded =
    urls::make_pct_string_view(urls::string_view(aText.data(), aText.size()));
  if (!encoded) {
    return std::nullopt;
  }
  return encoded->decode();
}

} // namespace gooseberrylift
