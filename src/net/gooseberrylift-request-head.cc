#include "gooseberrylift-request-head.h"

#include <algorithm>
#include <string_view>

#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace gooseberrylift {

namespace {

bool IsControl(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < ' ' || byte == 0x7f;
}

bool IsToken(std::string_view aText)
{
  const boost::beast::http::token_list list(
    boost::beast::string_view(aText.data(), aText.size()));
  const auto first = list.begin();
  return first != list.end() && first->size() == aText.size();
}

bool IsTarget(std::string_view aText)
{
  return !aText.empty() &&
         std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
           return IsControl(aCharacter) || aCharacter == ' ';
         });
}

bool IsFieldValue(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
    return IsControl(aCharacter) && aCharacter != '\t';
  });
}

} // namespace

std::optional<Error> CheckRequestHead(const HttpRequest& aRequest)
{
  const auto reject = [](const char* aText) {
    return MakeError(ResultCode::kInternal, aText);
  };
  if (!IsToken(aRequest.method_)) {
    return reject("the method of a request to send is invalid");
  }
  if (!IsTarget(aRequest.target_)) {
    return reject("the target of a request to send is invalid");
  }
  for (const HttpField& field : aRequest.fields_) {
    if (!IsToken(field.name_) || !IsFieldValue(field.value_)) {
      return reject("a header field of a request to send is invalid");
    }
  }
  return std::nullopt;
}

} // namespace gooseberrylift
