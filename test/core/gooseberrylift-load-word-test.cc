#include "gooseberrylift/membership/gooseberrylift-load-word.h"
#include "gooseberrylift/membership/gooseberrylift-word-pace.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(LoadWordTest){ static LoadWord Word(int aShares){
  LoadWord word{ .host_ = "entry-1", .sequence_ = 1'781'606'139'000'001 };
for (int index = 0; index < aShares; ++index) {
  word.shares_.push_back({ .id_ = "engine-" + std::to_string(index),
                           .running_ = index,
                           .tight_ = 1,
                           .memoryTokens_ = 380'000,
                           .backlog_ = 1'500ms,
                           .deferred_ = 2,
                           .silent_ = 40ms });
}
return word;
}
}
;

TEST(LoadWordTest, SurvivesTheWay)
{
  const std::vector<std::string> datagrams = EncodeLoadWord(Word(3));
  LONGS_EQUAL(1, datagrams.size());
  const auto word = DecodeLoadWord(datagrams.front());
  STRCMP_EQUAL("entry-1", word->host_.c_str());
  CHECK_TRUE(word->sequence_ == 1'781'606'139'000'001);
  CHECK_TRUE(word->first_);
  LONGS_EQUAL(3, word->shares_.size());
  const EndpointShare& share = word->shares_.back();
  STRCMP_EQUAL("engine-2", share.id_.c_str());
  LONGS_EQUAL(2, share.running_);
  LONGS_EQUAL(380'000, share.memoryTokens_);
  LONGS_EQUAL(1'500'000, share.backlog_.count());
  LONGS_EQUAL(2, share.deferred_);
  LONGS_EQUAL(40, share.silent_.count());
}

TEST(LoadWordTest, SaysThatAHostHasNothingInWork)
{
  const std::vector<std::string> datagrams = EncodeLoadWord(Word(0));
  LONGS_EQUAL(1, datagrams.size());
  LONGS_EQUAL(0, DecodeLoadWord(datagrams.front())->shares_.size());
}

TEST(LoadWordTest, SplitsALongWordIntoPackets)
{
  const std::vector<std::string> datagrams = EncodeLoadWord(Word(78));
  std::size_t shares = 0;
  for (const std::string& datagram : datagrams) {
    CHECK_TRUE(datagram.size() <= 1'400);
    const auto word = DecodeLoadWord(datagram);
    CHECK_TRUE(word->first_ == (shares == 0));
    shares += word->shares_.size();
  }
  LONGS_EQUAL(78, shares);
}

TEST(LoadWordTest, TakesNothingFromWhatIsNoWord)
{
  CHECK_FALSE(DecodeLoadWord("").has_value());
  CHECK_FALSE(DecodeLoadWord("hello").has_value());
  const std::string whole = EncodeLoadWord(Word(3)).front();
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodeLoadWord(whole.substr(0, size)).has_value());
  }
}

TEST_GROUP(WordPaceTest)
{
  WordPace pace_{ WordPace::Options{} };
  TimePoint now_{ 1000s };
};

TEST(WordPaceTest, TellsTheFirstChangeAtOnceAndTheNextALittleLater)
{
  CHECK_TRUE(pace_.DueAt(now_, 8, false) == now_);
  pace_.OnSent(now_);
  CHECK_TRUE(pace_.DueAt(now_ + 1ms, 8, false) > now_ + 10ms);
  CHECK_TRUE(pace_.DueAt(now_ + 1ms, 8, false) < now_ + 30ms);
  CHECK_TRUE(pace_.DueAt(now_ + 1ms, 8, true) == now_ + 1ms);
}

TEST(WordPaceTest, SendsNoMoreToManyPeersThanToFew)
{
  LONGS_EQUAL(1'000, pace_.Interval(300).count());
  CHECK_TRUE(pace_.Interval(62) >= 200ms);
  CHECK_TRUE(pace_.Interval(62) <= 210ms);
}

TEST(WordPaceTest, RepeatsAWordThatMayBeLost)
{
  pace_.OnSent(now_);
  CHECK_FALSE(pace_.MustRepeat(now_ + 200ms, 8));
  CHECK_TRUE(pace_.MustRepeat(now_ + 300ms, 8));
  CHECK_FALSE(pace_.MustRepeat(now_ + 300ms, 300));
}
