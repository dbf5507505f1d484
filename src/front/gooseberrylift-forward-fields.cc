#include "gooseberrylift/internal/gooseberrylift-forward-fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>
#include <string>
#include <string_view>

namespace gooseberrylift {

namespace {

// Header fields that concern one connection, or that this host sets itself.
bool IsOwnField(std::string_view aName)
{
  constexpr std::array<std::string_view, 14> kOwn = {
    "connection", "keep-alive",        "transfer-encoding", "te",
    "trailer",    "upgrade",           "proxy-connection",  "host",
    "expect",     "content-length",    "authorization",     "x-request-id",
    "x-team",     "proxy-authenticate"
  };
  std::string lower(aName);
  std::transform(lower.begin(),
                 lower.end(),
                 lower.begin(),
                 [](unsigned char aLetter) { return std::tolower(aLetter); });
  return std::find(kOwn.begin(), kOwn.end(), lower) != kOwn.end();
}

} // namespace

HttpFields WithoutOwnFields(const HttpFields& aFields)
{
  HttpFields kept;
  std::copy_if(
    aFields.begin(),
    aFields.end(),
    std::back_inserter(kept),
    [](const HttpField& aField) { return !IsOwnField(aField.name_); });
  return kept;
}

} // namespace gooseberrylift
