#include "gooseberrylift/gooseberrylift-json-text.h"

#include <boost/locale/utf.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

constexpr const char* kTooDeep = "nested too deeply";
constexpr const char* kNotUtf8 = "text that is not UTF-8";

bool IsUtf8(const std::string& aText)
{
  using Traits = boost::locale::utf::utf_traits<char>;
  for (auto position = aText.begin(); position != aText.end();) {
    const auto codePoint = Traits::decode(position, aText.end());
    if (!boost::locale::utf::is_valid_codepoint(codePoint)) {
      return false;
    }
  }
  return true;
}

// Builds a value from a parser's events and stops the parser at the limit of
// nesting. The library's own builder has no such limit.
class JsonBuilder final : public json::json_sax_t
{
public:
  JsonBuilder(std::string* aFault, std::size_t aMaxDepth)
    : fault_(aFault)
    , maxDepth_(aMaxDepth)
  {
  }

  json Take() { return std::move(root_); }

  bool null() override { return Add(nullptr); }
  bool boolean(bool aValue) override { return Add(aValue); }
  bool number_integer(json::number_integer_t aValue) override
  {
    return Add(aValue);
  }
  bool number_unsigned(json::number_unsigned_t aValue) override
  {
    return Add(aValue);
  }
  bool number_float(json::number_float_t aValue,
                    const std::string& /*aText*/) override
  {
    return Add(aValue);
  }
  // The parser of CBOR doesn't check text, which could not be serialized later.
  bool string(std::string& aValue) override
  {
    return IsUtf8(aValue) ? Add(std::move(aValue)) : Fail(kNotUtf8);
  }
  bool binary(json::binary_t& aValue) override
  {
    return Add(json::binary(std::move(aValue)));
  }
  bool start_object(std::size_t /*aSize*/) override
  {
    return Open(json::object());
  }
  bool key(std::string& aName) override
  {
    if (!IsUtf8(aName)) {
      return Fail(kNotUtf8);
    }
    member_ = &(*containers_.back())[std::move(aName)];
    return true;
  }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t /*aSize*/) override
  {
    return Open(json::array());
  }
  bool end_array() override { return Close(); }

  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& aError) override
  {
    return Fail(aError.what());
  }

private:
  bool Add(json aValue)
  {
    if (containers_.empty()) {
      root_ = std::move(aValue);
      last_ = &root_;
    } else if (containers_.back()->is_array()) {
      last_ = &containers_.back()->emplace_back(std::move(aValue));
    } else {
      *member_ = std::move(aValue);
      last_ = member_;
    }
    return true;
  }

  bool Open(json aEmpty)
  {
    if (containers_.size() == maxDepth_) {
      return Fail(kTooDeep);
    }
    Add(std::move(aEmpty));
    containers_.push_back(last_);
    return true;
  }

  bool Close()
  {
    containers_.pop_back();
    return true;
  }

  bool Fail(const char* aFault)
  {
    if (fault_ != nullptr) {
      *fault_ = aFault;
    }
    return false;
  }

  std::string* fault_;
  std::size_t maxDepth_;
  json root_;
  std::vector<json*> containers_; // those that are open
  json* member_ = nullptr;        // named by the last key
  json* last_ = nullptr;          // the last added value
};

json Discarded()
{
  return json(json::value_t::discarded);
}

// Follows the structure of a JSON text character by character.
class JsonStructure
{
public:
  // Returns whether a character is outside of strings.
  bool Next(char aCharacter)
  {
    if (inString_) {
      inString_ = isEscaped_ || aCharacter != '"';
      isEscaped_ = !isEscaped_ && aCharacter == '\\';
      return false;
    }
    if (aCharacter == '"') {
      inString_ = true;
    } else if (aCharacter == '[' || aCharacter == '{') {
      ++depth_;
    } else if (aCharacter == ']' || aCharacter == '}') {
      --depth_;
    }
    return !inString_;
  }

  bool InString() const { return inString_; }
  std::ptrdiff_t Depth() const { return depth_; }

private:
  bool inString_ = false;
  bool isEscaped_ = false;
  std::ptrdiff_t depth_ = 0;
};

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t begin = aText.find_first_not_of(kSpace);
  return begin == std::string_view::npos
           ? std::string_view()
           : aText.substr(begin, aText.find_last_not_of(kSpace) - begin + 1);
}

// Collects the parts of a container.
class PartList
{
public:
  PartList(std::string_view aInner, bool aIsObject)
    : inner_(aInner)
    , isObject_(aIsObject)
  {
  }

  void OnColon(std::size_t aPosition)
  {
    if (isObject_ && !colon_) {
      colon_ = aPosition;
    }
  }

  // Ends the part that is before a position.
  bool End(std::size_t aPosition)
  {
    if (isObject_ && !colon_) {
      return false;
    }
    const std::size_t value = isObject_ ? *colon_ + 1 : begin_;
    parts_.push_back(
      { .name_ = isObject_ ? Trim(inner_.substr(begin_, *colon_ - begin_))
                           : std::string_view(),
        .value_ = Trim(inner_.substr(value, aPosition - value)) });
    begin_ = aPosition + 1;
    colon_.reset();
    return true;
  }

  std::vector<JsonPart> Take() { return std::move(parts_); }

private:
  std::string_view inner_;
  bool isObject_;
  std::size_t begin_ = 0; // of the current part
  std::optional<std::size_t> colon_;
  std::vector<JsonPart> parts_;
};

} // namespace

json ParseJson(std::string_view aText,
               std::string* aFault,
               std::size_t aMaxDepth)
{
  JsonBuilder builder(aFault, aMaxDepth);
  return json::sax_parse(aText, &builder) ? builder.Take() : Discarded();
}

json ParseCbor(std::string_view aBytes)
{
  // The library reads the parts of a text of unknown length recursively,
  // without an event of which the builder could count the depth.
  if (aBytes.size() > kMaxCborBytes) {
    return Discarded();
  }
  JsonBuilder builder(nullptr, kMaxJsonDepth);
  return json::sax_parse(aBytes, &builder, json::input_format_t::cbor)
           ? builder.Take()
           : Discarded();
}

bool IsJsonTooDeep(std::string_view aText)
{
  JsonStructure structure;
  for (const char character : aText) {
    structure.Next(character);
    if (structure.Depth() > static_cast<std::ptrdiff_t>(kMaxJsonDepth)) {
      return true;
    }
  }
  return false;
}

std::uint64_t EstimateParsedBytes(std::string_view aText)
{
  // An array is copied as it grows, to twice the size at most.
  constexpr std::uint64_t kElementBytes = 3 * sizeof(nlohmann::json);
  constexpr std::uint64_t kMemberBytes =
    sizeof(std::string) + sizeof(nlohmann::json) + 8 * sizeof(void*);
  constexpr std::uint64_t kContainerBytes = 64;
  std::uint64_t bytes = aText.size();
  JsonStructure structure;
  for (const char character : aText) {
    if (!structure.Next(character)) {
      continue;
    }
    if (character == ',') {
      bytes += kElementBytes;
    } else if (character == ':') {
      bytes += kMemberBytes;
    } else if (character == '[' || character == '{') {
      bytes += kContainerBytes;
    }
  }
  return bytes;
}

std::optional<std::vector<JsonPart>> SplitJson(std::string_view aText)
{
  const std::string_view text = Trim(aText);
  const bool isObject = text.starts_with('{') && text.ends_with('}');
  const bool isArray = text.starts_with('[') && text.ends_with(']');
  if (text.size() < 2 || (!isObject && !isArray)) {
    return std::nullopt;
  }
  const std::string_view inner = text.substr(1, text.size() - 2);
  PartList parts(inner, isObject);
  if (Trim(inner).empty()) {
    return parts.Take();
  }
  JsonStructure structure;
  for (std::size_t position = 0; position < inner.size(); ++position) {
    const bool isOutside = structure.Next(inner[position]);
    if (structure.Depth() < 0) {
      return std::nullopt;
    }
    if (!isOutside || structure.Depth() > 0) {
      continue;
    }
    if (inner[position] == ':') {
      parts.OnColon(position);
    } else if (inner[position] == ',' && !parts.End(position)) {
      return std::nullopt;
    }
  }
  if (structure.InString() || structure.Depth() != 0 ||
      !parts.End(inner.size())) {
    return std::nullopt;
  }
  return parts.Take();
}

} // namespace gooseberrylift
