#include "gooseberrylift/gooseberrylift-json-text.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using nlohmann::json;

namespace {

std::string Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

// Returns a text of several characters that a parser could mistake.
std::string RandomText(std::minstd_rand& aRandom)
{
  constexpr std::string_view kCharacters = "a\"\\{}[],: \n\x01/";
  std::string text;
  for (auto left = aRandom() % 6; left > 0; --left) {
    text += kCharacters[aRandom() % kCharacters.size()];
  }
  return aRandom() % 4 == 0 ? text + "\u00e9\u20ac" : text;
}

json RandomDocument(std::minstd_rand& aRandom, int aMaxDepth)
{
  json document;
  switch (aRandom() % (aMaxDepth > 0 ? 7 : 5)) {
    case 0:
      return aRandom() % 2 == 0;
    case 1:
      return static_cast<std::int64_t>(aRandom()) - 1'000'000'000;
    case 2:
      return static_cast<double>(aRandom()) / 7;
    case 3:
      return nullptr;
    case 4:
      return RandomText(aRandom);
    case 5:
      document = json::array();
      for (auto left = aRandom() % 5; left > 0; --left) {
        document.push_back(RandomDocument(aRandom, aMaxDepth - 1));
      }
      return document;
    default:
      document = json::object();
      for (auto left = aRandom() % 5; left > 0; --left) {
        document[RandomText(aRandom)] = RandomDocument(aRandom, aMaxDepth - 1);
      }
      return document;
  }
}

json ParseParts(const std::string& aText)
{
  const auto parts = SplitJson(aText);
  const bool isObject = aText.starts_with('{');
  json document = isObject ? json::object() : json::array();
  for (const JsonPart& part : *parts) {
    if (isObject) {
      document[ParseJson(part.name_).get<std::string>()] =
        ParseJson(part.value_);
    } else {
      document.push_back(ParseJson(part.value_));
    }
  }
  return document;
}

} // namespace

TEST_GROUP(JsonTextTest){};

// Guards against a stack overflow: the library copies, compares and dumps
// values recursively.
TEST(JsonTextTest, RejectsNestingBeyondTheBound)
{
  std::string fault;
  CHECK_FALSE(ParseJson(Nested(kMaxJsonDepth), &fault).is_discarded());
  CHECK_TRUE(fault.empty());
  for (const std::size_t depth :
       { kMaxJsonDepth + 1, std::size_t{ 400'000 } }) {
    CHECK_TRUE(ParseJson(Nested(depth), &fault).is_discarded());
    STRCMP_EQUAL("nested too deeply", fault.c_str());
    CHECK_TRUE(IsJsonTooDeep(Nested(depth)));
  }
  CHECK_FALSE(IsJsonTooDeep(Nested(kMaxJsonDepth)));
  CHECK_FALSE(IsJsonTooDeep('"' + std::string(1'000, '[') + "\\\"[\""));
}

TEST(JsonTextTest, ReportsWhyATextIsInvalid)
{
  for (const char* text : { R"({"a":"\udcff"})",
                            R"({"a":1e999})",
                            "",
                            "[1",
                            "{} {}",
                            "\"\xff\"" }) {
    std::string fault;
    CHECK_TRUE(ParseJson(text, &fault).is_discarded());
    CHECK_FALSE(fault.empty());
  }
}

TEST(JsonTextTest, ParsesWhatTheLibraryParses)
{
  std::minstd_rand random(7);
  for (int round = 0; round < 2'000; ++round) {
    const json document = RandomDocument(random, 5);
    CHECK_TRUE(ParseJson(document.dump(round % 3 - 1)) == document);
    const std::vector<std::uint8_t> bytes = json::to_cbor(document);
    CHECK_TRUE(ParseCbor({ reinterpret_cast<const char*>(bytes.data()),
                           bytes.size() }) == document);
  }
  const json last = ParseJson(R"({"a":[1],"a":{"b":2}})");
  LONGS_EQUAL(2, last["a"]["b"].get<int>());
}

TEST(JsonTextTest, RejectsCborThatIsDeepOrHasInvalidText)
{
  CHECK_FALSE(ParseCbor("\x81\x61"
                        "a")
                .is_discarded());
  CHECK_TRUE(ParseCbor("\x81\x61\xff").is_discarded());
  CHECK_TRUE(ParseCbor("\xa1\x61\xff\x01").is_discarded());
  CHECK_TRUE(
    ParseCbor(std::string(kMaxJsonDepth + 1, '\x81') + '\x01').is_discarded());
  CHECK_TRUE(ParseCbor(std::string(1'000'000, '\x81')).is_discarded());
  // Texts of unknown length whose parts are such texts.
  CHECK_TRUE(ParseCbor(std::string(1'000'000, '\x7f')).is_discarded());
  CHECK_TRUE(ParseCbor(std::string(kMaxCborBytes, '\x7f')).is_discarded());
}

TEST(JsonTextTest, SplitsAnyDocumentIntoItsParts)
{
  std::minstd_rand random(11);
  int containers = 0;
  for (int round = 0; round < 5'000; ++round) {
    const json document = RandomDocument(random, 4);
    const std::string text = document.dump(round % 3 - 1);
    if (document.is_structured()) {
      ++containers;
      CHECK_TRUE(ParseParts(text) == document);
    } else {
      CHECK_FALSE(SplitJson(text).has_value());
    }
  }
  CHECK_TRUE(containers > 500);
}

TEST(JsonTextTest, TellsInvalidPartsFromTheOthers)
{
  const std::string text = R"([ {"a":"\udcff"} , 1e999,)" + Nested(400'000) +
                           R"(, "\\\"]", , {"b":1}])";
  const auto parts = SplitJson(text);
  LONGS_EQUAL(6, parts->size());
  for (std::size_t part = 0; part < parts->size(); ++part) {
    CHECK_EQUAL(part == 3 || part == 5,
                !ParseJson(parts->at(part).value_).is_discarded());
  }
  const auto members = SplitJson(R"({"a:,":{"x":1},"\udcff":2})");
  LONGS_EQUAL(2, members->size());
  CHECK_TRUE(members->at(0).name_ == R"("a:,")");
  CHECK_TRUE(ParseJson(members->at(1).name_).is_discarded());
}

TEST(JsonTextTest, SplitsNoTextWithUnmatchedBracketsOrQuotes)
{
  for (const char* text : { "",
                            "[",
                            "7",
                            "[1}",
                            "[]]",
                            "[[]",
                            "[1]2]",
                            R"(["a])",
                            R"(["a\"])",
                            R"({"a"})",
                            R"({"a":1,})" }) {
    CHECK_FALSE(SplitJson(text).has_value());
  }
}

// Guards against exceptions that end the task which reads such a field.
TEST(JsonTextTest, ReturnsTheDefaultForFieldsOfOtherTypes)
{
  const json document = ParseJson(
    R"({"text":"a","flag":true,"number":-3,"large":1e300,"list":[]})");
  CHECK_TRUE(JsonFieldOr(document, "text", std::string("b")) == "a");
  CHECK_TRUE(JsonFieldOr(document, "list", std::string("b")) == "b");
  CHECK_TRUE(JsonFieldOr(document, "none", std::string("b")) == "b");
  CHECK_TRUE(JsonFieldOr(document, "flag", false));
  CHECK_FALSE(JsonFieldOr(document, "number", false));
  LONGS_EQUAL(-3, JsonFieldOr(document, "number", std::int64_t{ 1 }));
  LONGS_EQUAL(1, JsonFieldOr(document, "number", std::uint64_t{ 1 }));
  LONGS_EQUAL(1, JsonFieldOr(document, "large", std::int64_t{ 1 }));
  LONGS_EQUAL(1, JsonFieldOr(json(5), "number", 1));
}
