#include "gooseberrylift/membership/gooseberrylift-zone-load.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "gooseberrylift/membership/gooseberrylift-store-read-schedule.h"

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

EndpointShare Share(const std::string& aId, int aRunning)
{
  return { .id_ = aId, .running_ = aRunning };
}

LoadMessage ZoneMessage(const std::string& aHost, LoadMessageKind aKind)
{
  return { .host_ = aHost, .kind_ = aKind, .zone_ = "there" };
}

// Returns two hosts of one zone in the order of their rank.
std::pair<std::string, std::string> TwoHostsByRank()
{
  return RanksBefore("one", "two") ? std::pair("one", "two")
                                   : std::pair("two", "one");
}

} // namespace

TEST_GROUP(ZoneLoadAggregatorTest)
{
  ZoneLoadAggregator aggregator_{ ZoneLoadAggregator::Options{} };
  TimePoint now_{ 1000s };
};

TEST(ZoneLoadAggregatorTest, StartsWithASnapshot)
{
  const auto message =
    aggregator_.NextMessage({ Share("a", 1), Share("b", 2) }, now_);
  CHECK_TRUE(message->kind_ == LoadMessageKind::kSnapshot);
  LONGS_EQUAL(2, message->shares_.size());
}

TEST(ZoneLoadAggregatorTest, SendsAChangeOnce)
{
  aggregator_.NextMessage({ Share("a", 1), Share("b", 2) }, now_);
  const std::vector<EndpointShare> updated = { Share("a", 1), Share("b", 3) };
  const auto message = aggregator_.NextMessage(updated, now_ + 100ms);
  LONGS_EQUAL(1, message->shares_.size());
  STRCMP_EQUAL("b", message->shares_.front().id_.c_str());
  CHECK_FALSE(aggregator_.NextMessage(updated, now_ + 200ms).has_value());
}

TEST(ZoneLoadAggregatorTest, ReportsAnEndpointWithoutLoad)
{
  aggregator_.NextMessage({ Share("a", 1) }, now_);
  const auto message = aggregator_.NextMessage({}, now_ + 50ms);
  LONGS_EQUAL(1, message->shares_.size());
  LONGS_EQUAL(0, message->shares_.front().running_);
}

TEST(ZoneLoadAggregatorTest, SendsOnlyClearChangesOfThePace)
{
  const auto sends = [this](int aPercent) {
    now_ += 10ms;
    EndpointShare share = Share("a", 1);
    share.pacePercent_ = aPercent;
    return aggregator_.NextMessage({ share }, now_).has_value();
  };
  CHECK_TRUE(sends(0)); // the first snapshot
  CHECK_FALSE(sends(100));
  CHECK_TRUE(sends(400));
  CHECK_FALSE(sends(350));
  CHECK_TRUE(sends(250));
  CHECK_TRUE(sends(0));
}

TEST(ZoneLoadAggregatorTest, SendsHeartbeats)
{
  aggregator_.NextMessage({ Share("a", 1) }, now_);
  CHECK_FALSE(
    aggregator_.NextMessage({ Share("a", 1) }, now_ + 100ms).has_value());
  const auto message = aggregator_.NextMessage({ Share("a", 1) }, now_ + 300ms);
  CHECK_TRUE(message.has_value() && message->shares_.empty());
}

// Receivers extrapolate an engine's silence from the last message. Without a
// report of activity they would move requests away from a working engine.
TEST(ZoneLoadAggregatorTest, ReportsActivityBeforeReceiversTreatAnEngineAsHung)
{
  aggregator_.NextMessage({ Share("a", 1) }, now_);
  CHECK_FALSE(
    aggregator_.NextMessage({ Share("a", 1) }, now_ + 100ms).has_value());
  const auto message = aggregator_.NextMessage({ Share("a", 1) }, now_ + 550ms);
  LONGS_EQUAL(1, message->shares_.size());
}

TEST(ZoneLoadAggregatorTest, ReportsABacklogThatDoesNotShrinkAsExpected)
{
  EndpointShare share = Share("a", 1);
  share.backlog_ = 1s;
  aggregator_.NextMessage({ share }, now_);
  share.backlog_ = 900ms;
  CHECK_FALSE(aggregator_.NextMessage({ share }, now_ + 100ms).has_value());
  const auto message = aggregator_.NextMessage({ share }, now_ + 240ms);
  LONGS_EQUAL(1, message->shares_.size());
}

// Receivers in other zones must converge to the actual load although one in
// five datagrams is lost at random. They do because a snapshot is sent each
// second.
TEST(ZoneLoadAggregatorTest, ConvergesDespiteLostDatagrams)
{
  std::mt19937 random(1);
  std::map<std::string, int> actual;
  std::map<std::string, int> received;
  for (int step = 0; step < 2'000; ++step) {
    now_ += 100ms;
    if (step < 1'950) {
      actual["engine-" + std::to_string(random() % 40)] =
        static_cast<int>(random() % 10);
    }
    std::vector<EndpointShare> totals;
    for (const auto& [id, running] : actual) {
      if (running > 0) {
        totals.push_back(Share(id, running));
      }
    }
    const auto message = aggregator_.NextMessage(totals, now_);
    if (!message || random() % 5 == 0) {
      continue;
    }
    if (message->kind_ == LoadMessageKind::kSnapshot) {
      received.clear();
    }
    for (const EndpointShare& share : message->shares_) {
      received[share.id_] = share.running_;
    }
  }
  for (const auto& [id, running] : actual) {
    LONGS_EQUAL(running, received[id]);
  }
}

TEST_GROUP(ZoneAggregatorRoleTest)
{
  ZoneAggregatorRole role_{ ZoneAggregatorRole::Options{} };
  TimePoint now_{ 1000s };
};

TEST(ZoneAggregatorRoleTest, PassesToTheNextRankAfterSilence)
{
  role_.OnAggregateReceived(now_);
  CHECK_TRUE(role_.IsAggregator(now_, 0));
  CHECK_FALSE(role_.IsAggregator(now_ + 550ms, 1));
  CHECK_TRUE(role_.IsAggregator(now_ + 650ms, 1));
  CHECK_FALSE(role_.IsAggregator(now_ + 650ms, 2));
  CHECK_TRUE(role_.IsAggregator(now_ + 1'250ms, 2));
  CHECK_FALSE(role_.IsAggregator(now_ + 60s, 3));
}

TEST_GROUP(ZoneMessageFilterTest)
{
  ZoneMessageFilter filter_{ ZoneMessageFilter::Options{} };
  TimePoint now_{ 1000s };
};

// If a zone's load counted twice, idle engines would appear full. Two hosts of
// a zone act as aggregator, the second by rank starting first, and then the
// first one falls silent.
TEST(ZoneMessageFilterTest, AcceptsOneAggregatorPerZone)
{
  const auto [first, second] = TwoHostsByRank();
  const auto snapshot = LoadMessageKind::kSnapshot;
  const auto delta = LoadMessageKind::kDelta;
  CHECK_FALSE(filter_.Accepts(ZoneMessage(second, delta), now_));
  CHECK_TRUE(filter_.Accepts(ZoneMessage(second, snapshot), now_));
  CHECK_TRUE(filter_.Accepts(ZoneMessage(first, snapshot), now_ + 10ms));
  CHECK_FALSE(filter_.Accepts(ZoneMessage(second, snapshot), now_ + 20ms));
  CHECK_FALSE(filter_.Accepts(ZoneMessage(second, delta), now_ + 700ms));
  CHECK_TRUE(filter_.Accepts(ZoneMessage(second, snapshot), now_ + 700ms));
}
