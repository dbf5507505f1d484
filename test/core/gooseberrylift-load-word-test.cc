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
  CHECK_TRUE(word->part_ == LoadWordPart::kFirst);
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
    CHECK_TRUE(word->part_ ==
               (shares == 0 ? LoadWordPart::kFirst : LoadWordPart::kMore));
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

TEST(LoadWordTest, TellsOfWhichZoneItIs)
{
  LoadWord word = Word(60);
  word.zone_ = "a-zone-with-a-long-name";
  word.passOn_ = true;
  for (const std::string& datagram : EncodeLoadWord(word)) {
    CHECK_TRUE(datagram.size() <= 1'400);
    const auto read = DecodeLoadWord(datagram);
    STRCMP_EQUAL("a-zone-with-a-long-name", read->zone_.c_str());
    CHECK_TRUE(read->passOn_);
  }
  CHECK_TRUE(DecodeLoadWord(EncodeLoadWord(Word(1)).front())->zone_.empty());
}

// What a host passes on must stay what it was: a later part that came out as
// the first one would take the place of all the others.
TEST(LoadWordTest, StaysWhatItWasWhenItIsPassedOn)
{
  for (const std::string& datagram : EncodeLoadWord(Word(70))) {
    const auto word = DecodeLoadWord(datagram);
    const std::vector<std::string> passedOn = EncodeLoadWord(*word);
    LONGS_EQUAL(1, passedOn.size());
    CHECK_TRUE(passedOn.front() == datagram);
  }
}

TEST(LoadWordTest, TellsAChangeAsOne)
{
  LoadWord word = Word(17);
  word.part_ = LoadWordPart::kChange;
  const std::vector<std::string> datagrams = EncodeLoadWord(word);
  LONGS_EQUAL(1, datagrams.size());
  CHECK_TRUE(DecodeLoadWord(datagrams.front())->part_ == LoadWordPart::kChange);
}

TEST_GROUP(WordPaceTest)
{
  WordPace pace_{ WordPace::Options{} };
  TimePoint now_{ 1000s };

  int ToldAtOnce(
    std::size_t aPeers, std::chrono::milliseconds aEvery, int aMost)
  {
    int told = 0;
    for (int change = 0; change < aMost; ++change) {
      now_ += aEvery;
      if (pace_.MayTell(now_, aPeers)) {
        pace_.OnTold(now_, aPeers);
        ++told;
      }
    }
    return told;
  }
};

TEST(WordPaceTest, TellsTheFirstWholeWordAtOnceAndTheNextALittleLater)
{
  CHECK_TRUE(pace_.DueAt(now_, 8) == now_);
  pace_.OnSent(now_);
  CHECK_TRUE(pace_.DueAt(now_ + 1ms, 8) > now_ + 10ms);
  CHECK_TRUE(pace_.DueAt(now_ + 1ms, 8) < now_ + 30ms);
}

// A host of a fleet of 91 places some three requests a second, a few of them at
// the same moment; all of them are told at once.
TEST(WordPaceTest, TellsEachPlacementOfAUsualLoadAtOnce)
{
  LONGS_EQUAL(30, ToldAtOnce(90, 300ms, 30));
  now_ += 3s;
  LONGS_EQUAL(4, ToldAtOnce(90, 1ms, 4));
}

TEST(WordPaceTest, BoundsWhatItTellsUnderABurstAndInAVeryLargeFleet)
{
  CHECK_TRUE(ToldAtOnce(90, 10ms, 1'000) <= 10 * 600 / 90 + 5);
  CHECK_TRUE(ToldAtOnce(2'000, 10ms, 1'000) <= 10 * 600 / 2'000 + 5);
}

TEST(WordPaceTest, SendsNoMoreWholeWordsToManyPeersThanToFew)
{
  LONGS_EQUAL(1'000, pace_.Interval(300).count());
  CHECK_TRUE(pace_.Interval(30) >= 100ms);
  CHECK_TRUE(pace_.Interval(30) <= 110ms);
  LONGS_EQUAL(700, pace_.Interval(62).count());
}

TEST(WordPaceTest, RepeatsAWordThatMayBeLost)
{
  pace_.OnSent(now_);
  CHECK_FALSE(pace_.MustRepeat(now_ + 200ms, 8));
  CHECK_TRUE(pace_.MustRepeat(now_ + 300ms, 8));
  CHECK_FALSE(pace_.MustRepeat(now_ + 300ms, 300));
}
