#include "gooseberrylift/limits/gooseberrylift-rate-permits.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

const Incarnation kEngine{ .id_ = "engine-1" };

RateGranter MakeGranter()
{
  return RateGranter(RateGranter::Options{});
}

// Requests permits every 5 ms for a while and returns the number granted.
int CountGranted(RateGranter& aGranter,
                 double aPerSecond,
                 TimePoint aFrom,
                 std::chrono::milliseconds aFor)
{
  int permits = 0;
  for (auto at = 0ms; at < aFor; at += 5ms) {
    permits +=
      aGranter.RequestPermits(kEngine, aPerSecond, 1, aFrom + at).permits_;
  }
  return permits;
}

} // namespace

TEST_GROUP(RateGranterTest){};

TEST(RateGranterTest, GrantsNothingDuringSettleTime)
{
  RateGranter granter = MakeGranter();
  LONGS_EQUAL(0, CountGranted(granter, 100, TimePoint(100s), 1995ms));
  CHECK_TRUE(CountGranted(granter, 100, TimePoint(102s), 100ms) > 0);
}

TEST(RateGranterTest, GrantsAtLimitRate)
{
  for (const double perSecond : { 0.5, 1.5, 7.0, 40.0, 300.0, 1e6 }) {
    RateGranter granter = MakeGranter();
    granter.RequestPermits(kEngine, perSecond, 1, TimePoint(100s));
    const int permits = CountGranted(granter, perSecond, TimePoint(102s), 20s);
    const double cover = perSecond * 0.1;
    CHECK_TRUE(permits <= perSecond * 20 + 2 + cover);
    CHECK_TRUE(permits >= perSecond * 20 * 0.9 - 1);
  }
}

TEST(RateGranterTest, UnusedPermitsDoNotAccumulate)
{
  RateGranter granter = MakeGranter();
  granter.RequestPermits(kEngine, 2, 1, TimePoint(100s));
  LONGS_EQUAL(2, CountGranted(granter, 2, TimePoint(140s), 100ms));
}

TEST(RateGranterTest, GrantsMinimumRateForLimitOfZero)
{
  RateGranter granter = MakeGranter();
  granter.RequestPermits(kEngine, 0, 1, TimePoint(100s));
  const int permits = CountGranted(granter, 0, TimePoint(102s), 40s);
  CHECK_TRUE(permits >= 9 && permits <= 11);
}

TEST(RateGranterTest, ClampsExcessiveLimit)
{
  RateGranter granter = MakeGranter();
  granter.RequestPermits(kEngine, 1e300, 1, TimePoint(100s));
  LONGS_EQUAL(
    100'000,
    granter.RequestPermits(kEngine, 1e300, 1, TimePoint(102s)).permits_);
}

TEST(RateGranterTest, GrantsEvenShareWithSeveralGranters)
{
  RateGranter granter({ .phase_ = 0.5 });
  granter.RequestPermits(kEngine, 3, 6, TimePoint(100s));
  int permits = 0;
  for (auto at = 0ms; at < 21s; at += 5ms) {
    permits +=
      granter.RequestPermits(kEngine, 3, 6, TimePoint(102s) + at).permits_;
  }
  LONGS_EQUAL(10, permits);
}

TEST(RateGranterTest, SpreadsRetryTimesOfWaitingHosts)
{
  RateGranter granter = MakeGranter();
  std::set<std::int64_t> retryTimes;
  for (int host = 0; host < 5; ++host) {
    retryTimes.insert(granter.RequestPermits(kEngine, 2, 1, TimePoint(100s))
                        .retryAfter_.count());
  }
  LONGS_EQUAL(5, retryTimes.size());
  LONGS_EQUAL(2000, *retryTimes.begin());
  LONGS_EQUAL(4000, *retryTimes.rbegin());
  // The retry delay is bounded for any number of hosts.
  for (int host = 0; host < 300; ++host) {
    CHECK_TRUE(
      granter.RequestPermits(kEngine, 2, 1, TimePoint(100s)).retryAfter_ <=
      10s);
  }
}

TEST(RateGranterTest, ChoiceIsConsistentAndMovesOnlyOnLossOfChosenHost)
{
  std::vector<std::string> hosts{ "a", "b", "c", "d", "e" };
  std::set<std::string> chosen;
  for (int engine = 0; engine < 50; ++engine) {
    const Incarnation endpoint{ .id_ = "engine-" + std::to_string(engine) };
    const std::string first = ChooseGranter(endpoint, hosts);
    chosen.insert(first);
    std::vector<std::string> others(hosts.rbegin(), hosts.rend());
    STRCMP_EQUAL(first.c_str(), ChooseGranter(endpoint, others).c_str());
    const std::string lost = first == "a" ? "b" : "a";
    std::erase(others, lost);
    STRCMP_EQUAL(first.c_str(), ChooseGranter(endpoint, others).c_str());
  }
  LONGS_EQUAL(5, chosen.size());
  STRCMP_EQUAL("", ChooseGranter(kEngine, {}).c_str());
}

TEST_GROUP(RatePermitsTest){};

TEST(RatePermitsTest, ConsumesEachPermitOnce)
{
  RatePermits permits({});
  CHECK_FALSE(permits.Take(kEngine, TimePoint(1s)));
  CHECK_TRUE(permits.TryBeginRequest(kEngine, TimePoint(1s)));
  CHECK_FALSE(permits.TryBeginRequest(kEngine, TimePoint(1s)));
  permits.OnGrant(kEngine, { .permits_ = 2 }, TimePoint(1s));
  CHECK_TRUE(permits.Take(kEngine, TimePoint(1s)));
  CHECK_TRUE(permits.Take(kEngine, TimePoint(1s)));
  CHECK_FALSE(permits.Take(kEngine, TimePoint(1s)));
}

TEST(RatePermitsTest, PermitsExpireOneSecondAfterRequest)
{
  RatePermits permits({});
  permits.TryBeginRequest(kEngine, TimePoint(1s));
  permits.OnGrant(kEngine, { .permits_ = 2 }, TimePoint(1500ms));
  CHECK_TRUE(permits.Take(kEngine, TimePoint(1999ms)));
  CHECK_FALSE(permits.Take(kEngine, TimePoint(2s)));
}

TEST(RatePermitsTest, RequestsAgainAfterRetryDelay)
{
  RatePermits permits({});
  permits.TryBeginRequest(kEngine, TimePoint(1s));
  LONGS_EQUAL(0, permits.TimeUntilPermit(kEngine, TimePoint(1s)).count());
  permits.OnGrant(kEngine, { .retryAfter_ = 700ms }, TimePoint(1s));
  LONGS_EQUAL(700, permits.TimeUntilPermit(kEngine, TimePoint(1s)).count());
  CHECK_FALSE(permits.TryBeginRequest(kEngine, TimePoint(1699ms)));
  CHECK_TRUE(permits.TryBeginRequest(kEngine, TimePoint(1700ms)));
  permits.OnRequestFailed(kEngine, TimePoint(2s));
  LONGS_EQUAL(500, permits.TimeUntilPermit(kEngine, TimePoint(2s)).count());
}

TEST(RatePermitsTest, IgnoresPermitsForRemovedEndpoint)
{
  RatePermits permits({});
  permits.TryBeginRequest(kEngine, TimePoint(1s));
  permits.Forget(kEngine);
  permits.OnGrant(kEngine, { .permits_ = 2 }, TimePoint(1s));
  CHECK_FALSE(permits.Has(kEngine, TimePoint(1s)));
}
