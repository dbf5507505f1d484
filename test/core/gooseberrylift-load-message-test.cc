#include "gooseberrylift/membership/gooseberrylift-load-message-pacer.h"
#include "gooseberrylift/membership/gooseberrylift-load-message.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(LoadMessageTest){ static LoadMessage Message(int aShares){
  LoadMessage message{ .host_ = "entry-1", .sequence_ = 1'781'606'139'000'001 };
for (int index = 0; index < aShares; ++index) {
  message.shares_.push_back({ .id_ = "engine-" + std::to_string(index),
                              .running_ = index,
                              .tightGap_ = 1,
                              .memoryTokens_ = 380'000,
                              .backlog_ = 1'500ms,
                              .deferred_ = 2,
                              .silent_ = 40ms });
}
return message;
}
}
;

TEST(LoadMessageTest, RoundTrips)
{
  const std::vector<std::string> datagrams = EncodeLoadMessage(Message(3));
  LONGS_EQUAL(1, datagrams.size());
  const auto message = DecodeLoadMessage(datagrams.front());
  STRCMP_EQUAL("entry-1", message->host_.c_str());
  CHECK_TRUE(message->sequence_ == 1'781'606'139'000'001);
  CHECK_TRUE(message->kind_ == LoadMessageKind::kSnapshot);
  LONGS_EQUAL(3, message->shares_.size());
  const EndpointShare& share = message->shares_.back();
  STRCMP_EQUAL("engine-2", share.id_.c_str());
  LONGS_EQUAL(2, share.running_);
  LONGS_EQUAL(380'000, share.memoryTokens_);
  LONGS_EQUAL(1'500'000, share.backlog_.count());
  LONGS_EQUAL(2, share.deferred_);
  LONGS_EQUAL(40, share.silent_.count());
}

TEST(LoadMessageTest, EncodesAnEmptyLoad)
{
  const std::vector<std::string> datagrams = EncodeLoadMessage(Message(0));
  LONGS_EQUAL(1, datagrams.size());
  LONGS_EQUAL(0, DecodeLoadMessage(datagrams.front())->shares_.size());
}

TEST(LoadMessageTest, SplitsALongMessageIntoPackets)
{
  const std::vector<std::string> datagrams = EncodeLoadMessage(Message(78));
  std::size_t shares = 0;
  for (const std::string& datagram : datagrams) {
    CHECK_TRUE(datagram.size() <= 1'400);
    const auto message = DecodeLoadMessage(datagram);
    CHECK_TRUE(message->kind_ == (shares == 0
                                    ? LoadMessageKind::kSnapshot
                                    : LoadMessageKind::kSnapshotContinued));
    shares += message->shares_.size();
  }
  LONGS_EQUAL(78, shares);
}

TEST(LoadMessageTest, RoundTripsWhatAHostObservesOfAnEndpoint)
{
  LoadMessage message = Message(2);
  message.shares_.back().pacePercent_ = 250;
  message.shares_.back().rejections_ = 7;
  message.shares_.back().backoff_ = 3s;
  const auto decoded = DecodeLoadMessage(EncodeLoadMessage(message).front());
  LONGS_EQUAL(0, decoded->shares_.front().pacePercent_);
  const EndpointShare& share = decoded->shares_.back();
  LONGS_EQUAL(250, share.pacePercent_);
  LONGS_EQUAL(7, share.rejections_);
  LONGS_EQUAL(3'000, share.backoff_.count());
}

TEST(LoadMessageTest, RoundTripsWaitingPromptsAndPromises)
{
  LoadMessage message = Message(0);
  message.waiting_.push_back({ .id_ = ~0ULL,
                               .service_ = NameHash("engines"),
                               .team_ = 9,
                               .priority_ = 2,
                               .waited_ = 1'200ms,
                               .remaining_ = 7s,
                               .engines_ = 3,
                               .memoryTokens_ = 480'000,
                               .prefill_ = 9s });
  message.promises_.push_back({ .request_ = 77,
                                .service_ = NameHash("engines"),
                                .untilDue_ = -50ms,
                                .sinceArrival_ = 300ms,
                                .prefill_ = 2s });
  const auto decoded = DecodeLoadMessage(EncodeLoadMessage(message).front());
  LONGS_EQUAL(1, decoded->waiting_.size());
  const WaitingPrompt& prompt = decoded->waiting_.front();
  CHECK_TRUE(prompt.id_ == ~0ULL);
  CHECK_TRUE(prompt.service_ == NameHash("engines"));
  LONGS_EQUAL(2, prompt.priority_);
  LONGS_EQUAL(1'200, prompt.waited_.count());
  LONGS_EQUAL(7'000, prompt.remaining_.count());
  LONGS_EQUAL(3, prompt.engines_);
  LONGS_EQUAL(480'000, prompt.memoryTokens_);
  LONGS_EQUAL(9'000, prompt.prefill_.count());
  LONGS_EQUAL(1, decoded->promises_.size());
  LONGS_EQUAL(-50, decoded->promises_.front().untilDue_.count());
  LONGS_EQUAL(300, decoded->promises_.front().sinceArrival_.count());
  STRCMP_EQUAL("", decoded->zone_.c_str());
}

TEST(LoadMessageTest, FitsFullListsAndSharesIntoPackets)
{
  LoadMessage message = Message(78);
  message.zone_ = "a-zone-with-a-long-name";
  for (EndpointShare& share : message.shares_) {
    share.pacePercent_ = 9'999;
    share.rejections_ = 999;
    share.backoff_ = 60s;
    share.unstarted_ = 10s;
    share.unstartedFor_ = 10s;
  }
  message.waiting_.assign(20,
                          { .id_ = ~0ULL,
                            .service_ = ~0U,
                            .team_ = ~0U,
                            .priority_ = 4,
                            .waited_ = 100s,
                            .remaining_ = 100s,
                            .engines_ = 16,
                            .memoryTokens_ = 1'000'000,
                            .prefill_ = 100s });
  message.promises_.assign(20,
                           { .request_ = ~0ULL,
                             .service_ = ~0U,
                             .untilDue_ = 100s,
                             .sinceArrival_ = 100s,
                             .prefill_ = 100s });
  std::size_t shares = 0;
  for (const std::string& datagram : EncodeLoadMessage(message)) {
    CHECK_TRUE(datagram.size() <= 1'400);
    shares += DecodeLoadMessage(datagram)->shares_.size();
  }
  LONGS_EQUAL(78, shares);
  const auto first = DecodeLoadMessage(EncodeLoadMessage(message).front());
  LONGS_EQUAL(kMaxWaitingPrompts, first->waiting_.size());
  LONGS_EQUAL(kMaxReturnPromises, first->promises_.size());
}

// Guards against a faulty peer whose values would empty or flood the engines.
TEST(LoadMessageTest, BoundsAbsurdValues)
{
  LoadMessage message = Message(1);
  message.shares_.back().pacePercent_ = -5;
  message.shares_.back().rejections_ = 1'000'000'000;
  message.shares_.back().backoff_ = -1s;
  message.waiting_.push_back({ .priority_ = -3, .remaining_ = 1'000h });
  const auto decoded = DecodeLoadMessage(EncodeLoadMessage(message).front());
  LONGS_EQUAL(0, decoded->shares_.back().pacePercent_);
  LONGS_EQUAL(1'000, decoded->shares_.back().rejections_);
  LONGS_EQUAL(0, decoded->shares_.back().backoff_.count());
  LONGS_EQUAL(0, decoded->waiting_.front().priority_);
  CHECK_TRUE(decoded->waiting_.front().remaining_ == 1h);
}

TEST(LoadMessageTest, RejectsInvalidDatagrams)
{
  CHECK_FALSE(DecodeLoadMessage("").has_value());
  CHECK_FALSE(DecodeLoadMessage("hello").has_value());
  const std::string datagram = EncodeLoadMessage(Message(3)).front();
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    CHECK_FALSE(DecodeLoadMessage(datagram.substr(0, size)).has_value());
  }
}

TEST(LoadMessageTest, RoundTripsTheZone)
{
  LoadMessage message = Message(60);
  message.zone_ = "a-zone-with-a-long-name";
  message.relayToZone_ = true;
  for (const std::string& datagram : EncodeLoadMessage(message)) {
    CHECK_TRUE(datagram.size() <= 1'400);
    const auto decoded = DecodeLoadMessage(datagram);
    STRCMP_EQUAL("a-zone-with-a-long-name", decoded->zone_.c_str());
    CHECK_TRUE(decoded->relayToZone_);
  }
  CHECK_TRUE(
    DecodeLoadMessage(EncodeLoadMessage(Message(1)).front())->zone_.empty());
}

// A relayed datagram must keep its kind: if a continuation were re-encoded as a
// first datagram, receivers would replace everything received before it.
TEST(LoadMessageTest, ReencodesARelayedDatagramUnchanged)
{
  for (const std::string& datagram : EncodeLoadMessage(Message(70))) {
    const auto message = DecodeLoadMessage(datagram);
    const std::vector<std::string> reencoded = EncodeLoadMessage(*message);
    LONGS_EQUAL(1, reencoded.size());
    CHECK_TRUE(reencoded.front() == datagram);
  }
}

TEST(LoadMessageTest, RoundTripsADelta)
{
  LoadMessage message = Message(17);
  message.kind_ = LoadMessageKind::kDelta;
  const std::vector<std::string> datagrams = EncodeLoadMessage(message);
  LONGS_EQUAL(1, datagrams.size());
  CHECK_TRUE(DecodeLoadMessage(datagrams.front())->kind_ ==
             LoadMessageKind::kDelta);
}

TEST_GROUP(LoadMessagePacerTest)
{
  LoadMessagePacer pace_{ LoadMessagePacer::Options{} };
  TimePoint now_{ 1000s };

  int CountSentDeltas(
    std::size_t aPeers, std::chrono::milliseconds aInterval, int aCount)
  {
    int sent = 0;
    for (int delta = 0; delta < aCount; ++delta) {
      now_ += aInterval;
      if (pace_.MaySendDelta(now_, aPeers)) {
        pace_.OnDeltaSent(now_, aPeers);
        ++sent;
      }
    }
    return sent;
  }
};

TEST(LoadMessagePacerTest, SendsTheFirstSnapshotAtOnceAndDelaysTheNext)
{
  CHECK_TRUE(pace_.NextSnapshotTime(now_, 8) == now_);
  pace_.OnSnapshotSent(now_);
  CHECK_TRUE(pace_.NextSnapshotTime(now_ + 1ms, 8) > now_ + 10ms);
  CHECK_TRUE(pace_.NextSnapshotTime(now_ + 1ms, 8) < now_ + 30ms);
}

// A host in a fleet of 91 places about three requests a second, sometimes a few
// at the same moment. All of them must be announced at once.
TEST(LoadMessagePacerTest, SendsEachDeltaAtOnceUnderTypicalLoad)
{
  LONGS_EQUAL(30, CountSentDeltas(90, 300ms, 30));
  now_ += 3s;
  LONGS_EQUAL(4, CountSentDeltas(90, 1ms, 4));
}

TEST(LoadMessagePacerTest, LimitsDeltasInABurstAndInAVeryLargeFleet)
{
  CHECK_TRUE(CountSentDeltas(90, 10ms, 1'000) <= 10 * 600 / 90 + 5);
  CHECK_TRUE(CountSentDeltas(2'000, 10ms, 1'000) <= 10 * 600 / 2'000 + 5);
}

TEST(LoadMessagePacerTest, LimitsTheSnapshotRateInLargeFleets)
{
  LONGS_EQUAL(1'000, pace_.Interval(300).count());
  CHECK_TRUE(pace_.Interval(30) >= 100ms);
  CHECK_TRUE(pace_.Interval(30) <= 110ms);
  LONGS_EQUAL(700, pace_.Interval(62).count());
}

TEST(LoadMessagePacerTest, RepeatsASnapshotThatMayBeLost)
{
  pace_.OnSnapshotSent(now_);
  CHECK_FALSE(pace_.IsRepeatDue(now_ + 200ms, 8));
  CHECK_TRUE(pace_.IsRepeatDue(now_ + 300ms, 8));
  CHECK_FALSE(pace_.IsRepeatDue(now_ + 300ms, 300));
}
