#include "gooseberrylift/membership/gooseberrylift-zone-sums.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "gooseberrylift/membership/gooseberrylift-read-turn.h"

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

EndpointShare Share(const std::string& aId, int aRunning)
{
  return { .id_ = aId, .running_ = aRunning };
}

LoadWord ZoneWord(const std::string& aHost, LoadWordPart aPart)
{
  return { .host_ = aHost, .part_ = aPart, .zone_ = "there" };
}

// Two hosts of one zone, the first by rank first.
std::pair<std::string, std::string> TwoHosts()
{
  return RanksBefore("one", "two") ? std::pair("one", "two")
                                   : std::pair("two", "one");
}

} // namespace

TEST_GROUP(ZoneSummerTest)
{
  ZoneSummer summer_{ ZoneSummer::Options{} };
  TimePoint now_{ 1000s };
};

TEST(ZoneSummerTest, BeginsWithAllThatTheZoneHasInWork)
{
  const auto word = summer_.Next({ Share("a", 1), Share("b", 2) }, now_);
  CHECK_TRUE(word->part_ == LoadWordPart::kFirst);
  LONGS_EQUAL(2, word->shares_.size());
}

TEST(ZoneSummerTest, TellsAChangeOnce)
{
  summer_.Next({ Share("a", 1), Share("b", 2) }, now_);
  const std::vector<EndpointShare> changed = { Share("a", 1), Share("b", 3) };
  const auto word = summer_.Next(changed, now_ + 100ms);
  LONGS_EQUAL(1, word->shares_.size());
  STRCMP_EQUAL("b", word->shares_.front().id_.c_str());
  CHECK_FALSE(summer_.Next(changed, now_ + 200ms).has_value());
}

TEST(ZoneSummerTest, TellsThatNothingIsLeftAtAnEndpoint)
{
  summer_.Next({ Share("a", 1) }, now_);
  const auto word = summer_.Next({}, now_ + 50ms);
  LONGS_EQUAL(1, word->shares_.size());
  LONGS_EQUAL(0, word->shares_.front().running_);
}

TEST(ZoneSummerTest, SaysNowAndThenThatItLives)
{
  summer_.Next({ Share("a", 1) }, now_);
  CHECK_FALSE(summer_.Next({ Share("a", 1) }, now_ + 100ms).has_value());
  const auto word = summer_.Next({ Share("a", 1) }, now_ + 300ms);
  CHECK_TRUE(word.has_value() && word->shares_.empty());
}

// Callers must not be taken from an engine that works: others count its silence
// on from the last word.
TEST(ZoneSummerTest, TellsSignsOfLifeBeforeOthersTakeAnEngineForHung)
{
  summer_.Next({ Share("a", 1) }, now_);
  CHECK_FALSE(summer_.Next({ Share("a", 1) }, now_ + 100ms).has_value());
  const auto word = summer_.Next({ Share("a", 1) }, now_ + 550ms);
  LONGS_EQUAL(1, word->shares_.size());
}

TEST(ZoneSummerTest, TellsABacklogThatDoesNotShrinkAsTimePasses)
{
  EndpointShare share = Share("a", 1);
  share.backlog_ = 1s;
  summer_.Next({ share }, now_);
  share.backlog_ = 900ms;
  CHECK_FALSE(summer_.Next({ share }, now_ + 100ms).has_value());
  const auto word = summer_.Next({ share }, now_ + 240ms);
  LONGS_EQUAL(1, word->shares_.size());
}

// What hosts of other zones know must come to what is true, though datagrams
// are lost: one in five here, at random. Why it does: all
// of it is told each second.
TEST(ZoneSummerTest, BringsOthersToTheTruthThroughLostDatagrams)
{
  std::mt19937 random(1);
  std::map<std::string, int> truth;
  std::map<std::string, int> heard;
  for (int step = 0; step < 2'000; ++step) {
    now_ += 100ms;
    if (step < 1'950) {
      truth["engine-" + std::to_string(random() % 40)] =
        static_cast<int>(random() % 10);
    }
    std::vector<EndpointShare> sums;
    for (const auto& [id, running] : truth) {
      if (running > 0) {
        sums.push_back(Share(id, running));
      }
    }
    const auto word = summer_.Next(sums, now_);
    if (!word || random() % 5 == 0) {
      continue;
    }
    if (word->part_ == LoadWordPart::kFirst) {
      heard.clear();
    }
    for (const EndpointShare& share : word->shares_) {
      heard[share.id_] = share.running_;
    }
  }
  for (const auto& [id, running] : truth) {
    LONGS_EQUAL(running, heard[id]);
  }
}

TEST_GROUP(ZoneTurnTest)
{
  ZoneTurn turn_{ ZoneTurn::Options{} };
  TimePoint now_{ 1000s };
};

TEST(ZoneTurnTest, GivesItToTheFirstAndToTheNextWhenThatOneIsSilent)
{
  turn_.OnHeard(now_);
  CHECK_TRUE(turn_.IsOwn(now_, 0));
  CHECK_FALSE(turn_.IsOwn(now_ + 550ms, 1));
  CHECK_TRUE(turn_.IsOwn(now_ + 650ms, 1));
  CHECK_FALSE(turn_.IsOwn(now_ + 650ms, 2));
  CHECK_TRUE(turn_.IsOwn(now_ + 1'250ms, 2));
  CHECK_FALSE(turn_.IsOwn(now_ + 60s, 3));
}

TEST_GROUP(ZoneSourcesTest)
{
  ZoneSources sources_{ ZoneSources::Options{} };
  TimePoint now_{ 1000s };
};

// Callers would be kept from idle engines if a zone's work counted twice. The
// order: two hosts of a zone sum it up, the second by rank first, and then the
// first one falls silent.
TEST(ZoneSourcesTest, CountsOneHostOfAZoneAtATime)
{
  const auto [first, second] = TwoHosts();
  const auto whole = LoadWordPart::kFirst;
  const auto change = LoadWordPart::kChange;
  CHECK_FALSE(sources_.Accepts(ZoneWord(second, change), now_));
  CHECK_TRUE(sources_.Accepts(ZoneWord(second, whole), now_));
  CHECK_TRUE(sources_.Accepts(ZoneWord(first, whole), now_ + 10ms));
  CHECK_FALSE(sources_.Accepts(ZoneWord(second, whole), now_ + 20ms));
  CHECK_FALSE(sources_.Accepts(ZoneWord(second, change), now_ + 700ms));
  CHECK_TRUE(sources_.Accepts(ZoneWord(second, whole), now_ + 700ms));
}
