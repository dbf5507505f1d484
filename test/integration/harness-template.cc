#include "harness-template.h"

#include <cstdlib>
#include <iterator>
#include <sstream>

namespace gooseberrylift::test {

using nlohmann::json;

namespace {

// An entry of a section, or all fields.
struct Scope
{
  const json& value_;
  const Scope* outer_ = nullptr;
  std::string key_{};
  bool last_ = true;
};

json Find(const json& aValue, const std::string& aName)
{
  json found = aValue;
  std::istringstream parts(aName);
  for (std::string part; std::getline(parts, part, '.');) {
    if (found.is_array()) {
      const int index = std::atoi(part.c_str());
      found = index < std::ssize(found) ? json(found.at(index)) : json();
    } else {
      found = found.is_object() ? json(found.value(part, json())) : json();
    }
  }
  return found;
}

json Resolve(const Scope* aScope, const std::string& aName)
{
  json found = aName == "." ? aScope->value_ : json();
  for (; found.is_null() && aScope != nullptr; aScope = aScope->outer_) {
    found = Find(aScope->value_, aName);
  }
  return found;
}

std::string TextOf(const json& aValue)
{
  if (aValue.is_string()) {
    return aValue;
  }
  std::string joined;
  if (aValue.is_array()) {
    for (const json& entry : aValue) {
      joined += (joined.empty() ? "" : ",") + TextOf(entry);
    }
    return joined;
  }
  return aValue.is_null() ? "" : aValue.dump();
}

class Renderer
{
public:
  Renderer(const std::string& aText, bool aHasEmpty)
    : text_(aText)
    , hasEmpty_(aHasEmpty)
  {
  }

  // Renders from aAt to the end of the section or text, where it leaves aAt.
  std::string Render(std::size_t& aAt, const Scope& aScope) const
  {
    std::string rendered;
    while (true) {
      const std::size_t open = text_.find("{{", aAt);
      rendered += text_.substr(aAt, open - aAt);
      if (open == std::string::npos) {
        aAt = text_.size();
        return rendered;
      }
      const std::size_t close = text_.find("}}", open);
      const std::string word = text_.substr(open + 2, close - open - 2);
      aAt = close + 2;
      if (word.front() == '/') {
        return rendered;
      }
      rendered += word.front() == '#' || word.front() == '^'
                    ? RenderSection(word, aAt, aScope)
                    : RenderWord(word, aScope);
    }
  }

private:
  std::string RenderSection(const std::string& aWord,
                            std::size_t& aAt,
                            const Scope& aScope) const
  {
    const json value = Resolve(&aScope, aWord.substr(1));
    const bool isPresent =
      !value.is_null() && value != json(false) && (hasEmpty_ || value != "");
    const std::size_t begin = aAt;
    std::string rendered;
    const std::string skipped = Render(aAt, aScope);
    if (aWord.front() == '^' || !isPresent) {
      return isPresent == (aWord.front() == '#') ? skipped : rendered;
    }
    const json entries = value.is_structured() ? value : json::array({ value });
    std::size_t left = entries.size();
    for (const auto& [key, entry] : entries.items()) {
      aAt = begin;
      rendered += Render(aAt,
                         { .value_ = entry,
                           .outer_ = &aScope,
                           .key_ = key,
                           .last_ = --left == 0 });
    }
    return rendered;
  }

  static std::string RenderWord(const std::string& aWord, const Scope& aScope)
  {
    if (aWord == "@") {
      return aScope.key_;
    }
    if (aWord == ",") {
      return aScope.last_ ? "" : ",";
    }
    const std::size_t bar = aWord.find("|json");
    const json value = Resolve(&aScope, aWord.substr(0, bar));
    const bool asJson = bar != std::string::npos && !value.is_null();
    return asJson ? value.dump() : TextOf(value);
  }

  const std::string& text_;
  bool hasEmpty_;
};

} // namespace

std::string RenderTemplate(const std::string& aText,
                           const json& aFields,
                           bool aHasEmpty)
{
  std::size_t at = 0;
  return Renderer(aText, aHasEmpty).Render(at, { .value_ = aFields });
}

} // namespace gooseberrylift::test
