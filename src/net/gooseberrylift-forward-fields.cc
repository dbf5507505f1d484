#include "gooseberrylift/internal/gooseberrylift-forward-fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>
#include <set>
#include <string>
#include <string_view>

namespace gooseberrylift {

namespace {

std::string Lower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(
    lower.begin(), lower.end(), lower.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return lower;
}

bool IsConnectionField(const std::string& aLowerName)
{
  constexpr std::array<std::string_view, 10> kFields = {
    "connection",     "keep-alive",        "transfer-encoding", "te",
    "trailer",        "upgrade",           "proxy-connection",  "expect",
    "content-length", "proxy-authenticate"
  };
  return std::find(kFields.begin(), kFields.end(), aLowerName) != kFields.end();
}

// Fields that this host sets itself towards an endpoint.
bool IsOwnField(const std::string& aLowerName)
{
  constexpr std::array<std::string_view, 4> kFields = {
    "host", "authorization", "x-request-id", "x-team"
  };
  return std::find(kFields.begin(), kFields.end(), aLowerName) != kFields.end();
}

// The names that a message itself declares to concern its connection only.
std::set<std::string> DeclaredFields(const HttpFields& aFields)
{
  std::set<std::string> names;
  std::string_view list = FindField(aFields, "Connection");
  while (!list.empty()) {
    std::string_view name = list.substr(0, list.find(','));
    list.remove_prefix(std::min(list.size(), name.size() + 1));
    while (name.starts_with(' ')) {
      name.remove_prefix(1);
    }
    names.insert(Lower(name.substr(0, name.find(' '))));
  }
  return names;
}

} // namespace

HttpFields WithoutConnectionFields(const HttpFields& aFields)
{
  const std::set<std::string> declared = DeclaredFields(aFields);
  HttpFields kept;
  kept.reserve(aFields.size());
  std::copy_if(aFields.begin(),
               aFields.end(),
               std::back_inserter(kept),
               [&declared](const HttpField& aField) {
                 const std::string name = Lower(aField.name_);
                 return !IsConnectionField(name) && !declared.contains(name);
               });
  return kept;
}

HttpFields WithoutHostFields(const HttpFields& aFields)
{
  HttpFields kept = WithoutConnectionFields(aFields);
  std::erase_if(kept, [](const HttpField& aField) {
    return IsOwnField(Lower(aField.name_));
  });
  return kept;
}

} // namespace gooseberrylift
