#include "gooseberrylift/gooseberrylift-json-spelling.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

constexpr std::string_view kMillisecondsSuffix = "_ms";
constexpr double kMillisecondsPerSecond = 1000;
// Doubles beyond it aren't exact integers.
constexpr double kMaxExactInteger = 9e15;

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kSpaces = " \t\r\n";
  const std::size_t begin = aText.find_first_not_of(kSpaces);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpaces) - begin + 1);
}

std::string TrimmedLower(const json& aValue)
{
  std::string text(Trim(aValue.get_ref<const std::string&>()));
  std::transform(
    text.begin(), text.end(), text.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return text;
}

bool IsEmpty(const json& aValue)
{
  return aValue.is_null() ||
         (aValue.is_string() &&
          Trim(aValue.get_ref<const std::string&>()).empty());
}

bool IsFalse(const json& aValue)
{
  return aValue == json(false) ||
         (aValue.is_string() && TrimmedLower(aValue) == "false");
}

// Returns the finite number that a value is or spells.
std::optional<double> NumberOf(const json& aValue)
{
  if (aValue.is_number()) {
    return aValue.get<double>();
  }
  if (!aValue.is_string()) {
    return std::nullopt;
  }
  const std::string_view text = Trim(aValue.get_ref<const std::string&>());
  const char* const end = text.data() + text.size();
  double number = 0;
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

void NormalizeNumber(json& aValue)
{
  if (const auto number = NumberOf(aValue); number && aValue.is_string()) {
    aValue = *number;
  }
}

void NormalizeInteger(json& aValue)
{
  const auto number = NumberOf(aValue);
  if (!number) {
    return;
  }
  if (std::abs(*number) <= kMaxExactInteger && std::trunc(*number) == *number) {
    aValue = static_cast<std::int64_t>(*number);
  } else {
    NormalizeNumber(aValue);
  }
}

void NormalizeMilliseconds(json& aValue)
{
  const auto number = NumberOf(aValue);
  if (!number || std::abs(*number) > kMaxExactInteger) {
    NormalizeNumber(aValue);
    return;
  }
  const std::int64_t rounded = std::llround(*number);
  aValue = *number > 0 ? std::max<std::int64_t>(rounded, 1) : rounded;
}

void NormalizeBoolean(json& aValue)
{
  const auto number = NumberOf(aValue);
  if (IsFalse(aValue) || number == 0.0) {
    aValue = false;
  } else if (number == 1.0 ||
             (aValue.is_string() && TrimmedLower(aValue) == "true")) {
    aValue = true;
  }
}

// Appends the parts of a text that is joined by commas; other values as they
// are.
void AppendParts(const json& aValue, json& aParts)
{
  if (!aValue.is_string()) {
    aParts.push_back(aValue);
    return;
  }
  std::string_view rest = aValue.get_ref<const std::string&>();
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    if (const auto part = Trim(rest.substr(0, comma)); !part.empty()) {
      aParts.push_back(std::string(part));
    }
    rest.remove_prefix(std::min(comma + 1, rest.size()));
  }
}

void EraseEmpty(json& aList)
{
  aList.erase(std::remove_if(aList.begin(), aList.end(), IsEmpty), aList.end());
}

void EraseNull(json& aObject)
{
  for (auto member = aObject.begin(); member != aObject.end();) {
    member = member->is_null() ? aObject.erase(member) : std::next(member);
  }
}

class Normalizer
{
public:
  explicit Normalizer(const json& aSchema)
    : schema_(aSchema)
  {
  }

  // Normalizes the fields of an object.
  void NormalizeFields(json& aObject, const json& aProperties) const
  {
    for (const auto& [name, property] : aProperties.items()) {
      const json& field = Resolve(property);
      const bool isTime =
        name.ends_with(kMillisecondsSuffix) && TypeOf(field) == "integer";
      if (isTime) {
        ReplaceSeconds(aObject, name);
      }
      const auto found = aObject.find(name);
      if (found == aObject.end()) {
        continue;
      }
      if (IsLacking(*found, field)) {
        aObject.erase(found);
      } else if (isTime) {
        NormalizeMilliseconds(*found);
      } else {
        NormalizeValue(*found, field);
      }
    }
  }

private:
  struct TypeRule
  {
    std::string_view type_;
    void (*normalize_)(const Normalizer& aNormalizer,
                       json& aValue,
                       const json& aField);
  };

  const json& Resolve(const json& aProperty) const
  {
    const auto reference = aProperty.find("$ref");
    return reference == aProperty.end()
             ? aProperty
             : schema_.at(json::json_pointer(
                 reference->get_ref<const std::string&>().substr(1)));
  }

  static std::string TypeOf(const json& aField)
  {
    return aField.value("type", "");
  }

  static bool IsLacking(const json& aValue, const json& aField)
  {
    const std::string type = TypeOf(aField);
    const bool isNumber = type == "integer" || type == "number";
    return IsEmpty(aValue) || (isNumber && IsFalse(aValue));
  }

  // Replaces a time in seconds, unless it is given in milliseconds as well.
  static void ReplaceSeconds(json& aObject, const std::string& aName)
  {
    const std::string seconds =
      aName.substr(0, aName.size() - kMillisecondsSuffix.size()) + "_s";
    const auto found = aObject.find(seconds);
    if (found == aObject.end()) {
      return;
    }
    json value = *found;
    const bool isLacking = IsEmpty(value) || IsFalse(value);
    const auto given = aObject.find(aName);
    if (!isLacking && given != aObject.end() && !IsEmpty(*given)) {
      return;
    }
    if (const auto number = NumberOf(value)) {
      value = *number * kMillisecondsPerSecond;
    }
    aObject.erase(seconds);
    if (!isLacking) {
      aObject[aName] = std::move(value);
    }
  }

  void NormalizeValue(json& aValue, const json& aField) const
  {
    static constexpr std::array kRules = {
      TypeRule{ "integer",
                [](const Normalizer&, json& aInteger, const json&) {
                  NormalizeInteger(aInteger);
                } },
      TypeRule{ "number",
                [](const Normalizer&, json& aNumber, const json&) {
                  NormalizeNumber(aNumber);
                } },
      TypeRule{ "boolean",
                [](const Normalizer&, json& aBoolean, const json&) {
                  NormalizeBoolean(aBoolean);
                } },
      TypeRule{
        "array",
        [](const Normalizer& aNormalizer, json& aList, const json& aListField) {
          aNormalizer.NormalizeList(aList, aListField);
        } },
      TypeRule{ "object",
                [](const Normalizer& aNormalizer,
                   json& aObject,
                   const json& aObjectField) {
                  aNormalizer.NormalizeObject(aObject, aObjectField);
                } },
    };
    const std::string type = TypeOf(aField);
    for (const TypeRule& rule : kRules) {
      if (rule.type_ == type) {
        rule.normalize_(*this, aValue, aField);
      }
    }
  }

  void NormalizeList(json& aValue, const json& aField) const
  {
    const bool isJoinable = aField.contains("items") &&
                            Resolve(aField.at("items")).contains("pattern");
    if (isJoinable && (aValue.is_string() || aValue.is_array())) {
      json parts = json::array();
      for (const json& entry :
           aValue.is_array() ? aValue : json::array({ aValue })) {
        AppendParts(entry, parts);
      }
      aValue = std::move(parts);
    }
    if (!aValue.is_array()) {
      return;
    }
    EraseEmpty(aValue);
    if (aField.contains("items")) {
      for (json& entry : aValue) {
        NormalizeValue(entry, Resolve(aField.at("items")));
      }
    }
  }

  void NormalizeObject(json& aValue, const json& aField) const
  {
    if (!aValue.is_object()) {
      return;
    }
    NormalizeFields(aValue, aField.value("properties", json::object()));
    if (aField.value("additionalProperties", json()).is_object()) {
      EraseNull(aValue);
    }
  }

  const json& schema_;
};

} // namespace

void NormalizeSpelling(json& aDocument, std::string_view aSchema)
{
  const json schema = json::parse(aSchema);
  if (aDocument.is_object()) {
    Normalizer(schema).NormalizeFields(aDocument, schema.at("properties"));
  }
}

} // namespace gooseberrylift
