// Parsing of JSON and CBOR from outside the process. Nothing here throws on
// malformed input, and the depth of nesting is bounded: the library copies,
// compares and serializes values recursively, and 400,000 levels overflow the
// stack.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_JSON_TEXT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_JSON_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

/// The number of arrays and objects that may enclose each other. No document of
/// the system has more than a dozen.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// The largest CBOR item in bytes; a datagram has a quarter of that at most.
inline constexpr std::size_t kMaxCborBytes = 8 * 1024;

/// Parses a JSON text.
/// @param aText the text, in UTF-8
/// @param aFault if not null, receives why the text is invalid
/// @param aMaxDepth the number of arrays and objects that may enclose each
/// other
/// @return the value; discarded if the text is not valid JSON, has a number out
/// of range, or is nested too deeply
nlohmann::json ParseJson(std::string_view aText,
                         std::string* aFault = nullptr,
                         std::size_t aMaxDepth = kMaxJsonDepth);

/// Parses a CBOR item.
/// @return the value; discarded if the bytes are not valid CBOR, hold text that
/// is not UTF-8, are nested more than kMaxJsonDepth deep, or are more than
/// kMaxCborBytes
nlohmann::json ParseCbor(std::string_view aBytes);

/// Returns whether arrays and objects are nested more than kMaxJsonDepth deep
/// in a JSON text, for parsers that have no such bound of their own.
bool IsJsonTooDeep(std::string_view aText);

/// Returns an upper bound of the bytes that a JSON text takes once it is
/// parsed, also while it is. A text of short numbers takes twelve times its
/// size.
std::uint64_t EstimateParsedBytes(std::string_view aText);

// A member of an object or an element of an array.
struct JsonPart
{
  std::string_view name_; // JSON string with its quotes; empty in an array
  std::string_view value_;
};

/// Splits the text of an object or array into its members or elements, without
/// parsing them, so that one that is invalid can be told from the others. Only
/// brackets and strings are examined.
/// @return the parts, which refer to aText; std::nullopt if the text is neither
/// an object nor an array, or its brackets or quotes don't match
std::optional<std::vector<JsonPart>> SplitJson(std::string_view aText);

/// Returns a field's value, or the default if aDocument is no object, or the
/// field is missing or of another type. For documents of other writers.
template<typename Value>
Value JsonFieldOr(const nlohmann::json& aDocument,
                  const char* aName,
                  Value aDefault)
{
  if (!aDocument.is_object()) {
    return aDefault;
  }
  const auto found = aDocument.find(aName);
  if (found == aDocument.end()) {
    return aDefault;
  }
  if constexpr (std::is_same_v<Value, nlohmann::json>) {
    return found->type() == aDefault.type() ? *found : std::move(aDefault);
  } else if constexpr (std::is_same_v<Value, std::string>) {
    return found->is_string() ? found->template get<Value>()
                              : std::move(aDefault);
  } else if constexpr (std::is_same_v<Value, bool>) {
    return found->is_boolean() ? found->template get<Value>() : aDefault;
  } else {
    static_assert(std::is_integral_v<Value>);
    // Other numbers would be converted without a check of their range.
    const bool fits = found->is_number_integer() &&
                      (std::is_signed_v<Value> || found->is_number_unsigned() ||
                       found->template get<std::int64_t>() >= 0);
    return fits ? found->template get<Value>() : aDefault;
  }
}

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_JSON_TEXT_H_
