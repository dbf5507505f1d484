#include "gooseberrylift/gooseberrylift-config-change.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using nlohmann::json;

TEST_GROUP(ConfigChangeTest){};

TEST(ConfigChangeTest, NumbersChangesAboveTheHighestGenerationInForce)
{
  const StoredConfiguration restored{ .generation_ = 3 };
  LONGS_EQUAL(8,
              *NextGeneration(restored, { .base_ = 7, .highestInForce_ = 7 }));
  CHECK_FALSE(NextGeneration(restored, { .base_ = 3, .highestInForce_ = 7 }));
}

TEST(ConfigChangeTest, RejectsABaseThatIsNotTheNewest)
{
  const StoredConfiguration stored{ .generation_ = 3 };
  CHECK_FALSE(NextGeneration(stored, { .base_ = 2, .highestInForce_ = 2 }));
  CHECK_FALSE(NextGeneration(stored, { .base_ = 4, .highestInForce_ = 3 }));
}

// If the response to a write is lost and other writes follow, the writer must
// still be able to determine that its change was accepted.
TEST(ConfigChangeTest, FindsAnEarlierChangeAndLimitsTheHistory)
{
  StoredConfiguration stored;
  for (std::uint64_t number = 1; number <= 150; ++number) {
    stored = AppendChange(
      StoredConfiguration::FromSpec(stored.ToSpec()),
      json::object(),
      { .generation_ = number, .nonce_ = "n" + std::to_string(number) });
  }
  LONGS_EQUAL(StoredConfiguration::kMaxRecentChanges, stored.recent_.size());
  LONGS_EQUAL(140, stored.FindChange("n140")->generation_);
  CHECK_FALSE(stored.FindChange("n50"));
}

TEST(ConfigChangeTest, MatchesItemsByNameAndRedactsKeys)
{
  const json from = json::parse(
    R"({"teams":[{"name":"a","weight":1},{"name":"b","keys":["secret-1"]}]})");
  const json to = json::parse(
    R"({"teams":[{"name":"b","keys":["secret-2"]},{"name":"a","weight":2}]})");
  const std::vector<std::string> lines = DiffConfigurations(from, to);
  LONGS_EQUAL(2, lines.size());
  STRCMP_EQUAL("~ /teams/a/weight: 1 -> 2", lines[0].c_str());
  STRCMP_EQUAL("~ /teams/b/keys: (keys) -> (keys)", lines[1].c_str());
}
