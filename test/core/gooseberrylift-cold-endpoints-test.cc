#include "gooseberrylift/limits/gooseberrylift-cold-endpoints.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart(1h);

ListedEndpoint Engine(std::optional<milliseconds> aRemaining)
{
  return { .id_ = "engine-1",
           .service_ = "engines",
           .warmUpRemaining_ = aRemaining };
}

const Incarnation kEngine = Engine({}).IncarnationId();

} // namespace

TEST_GROUP(ColdEndpointsTest)
{
  ColdEndpoints cold_{ ColdEndpoints::Options{} };

  void setup() override
  {
    cold_.SetTerms({ { "engines",
                       { .startDuration_ = 3'000ms,
                         .perSecond_ = 26,
                         .overshoot_ = 1.5,
                         .slack_ = 5 } } });
  }
};

TEST(ColdEndpointsTest, EndsAfterTheLatestStatement)
{
  cold_.OnListed(Engine(3'000ms), kStart);
  cold_.OnListed(Engine(2'500ms), kStart + 1s); // written late
  cold_.OnListed(Engine(0ms), kStart + 1'100ms);
  CHECK_TRUE(cold_.Find(kEngine, kStart + 3'499ms).has_value());
  CHECK_FALSE(cold_.Find(kEngine, kStart + 3'500ms).has_value());
  CHECK_FALSE(cold_.HasCold(kStart + 3'500ms));
}

TEST(ColdEndpointsTest, IsColdAfterItsFirstListingIfNothingIsStated)
{
  cold_.OnListed(Engine({}), kStart);
  cold_.OnListed(Engine({}), kStart + 1s);
  const auto state = cold_.Find(kEngine, kStart + 2'999ms);
  CHECK_TRUE(state->source_ == ColdSource::kStart);
  CHECK_TRUE(state->stated_ == 0ms); // other hosts aren't told an assumption
  CHECK_FALSE(cold_.Find(kEngine, kStart + 3s).has_value());
}

TEST(ColdEndpointsTest, IsWarmIfItsFirstEntrySaysSo)
{
  cold_.OnListed(Engine(0ms), kStart);
  CHECK_FALSE(cold_.Find(kEngine, kStart).has_value());
}

TEST(ColdEndpointsTest, SettlesOnlyIfTheEndpointMayHaveTraffic)
{
  cold_.OnListed(Engine(3'000ms), kStart);
  CHECK_TRUE(cold_.Find(kEngine, kStart)->firstPermit_ == kStart);
  const TimePoint again = kStart + 10s;
  cold_.OnListed(Engine(2'000ms), again);
  cold_.OnListed(Engine(1'500ms), again + 500ms);
  CHECK_TRUE(cold_.Find(kEngine, again + 500ms)->firstPermit_ ==
             again + 1'300ms);
}

TEST(ColdEndpointsTest, LearnsOnlyOfListedEndpointsFromPeers)
{
  cold_.OnPeer(kEngine, 3'000ms, kStart);
  CHECK_FALSE(cold_.Find(kEngine, kStart).has_value());
  cold_.OnListed(Engine(0ms), kStart);
  cold_.OnPeer(kEngine, 3'000ms, kStart);
  CHECK_TRUE(cold_.Find(kEngine, kStart)->source_ == ColdSource::kPeer);
}

TEST(ColdEndpointsTest, BoundsAbsurdStatements)
{
  cold_.OnListed(Engine(milliseconds::min()), kStart);
  CHECK_FALSE(cold_.Find(kEngine, kStart).has_value());
  cold_.OnListed(Engine(milliseconds::max()), kStart);
  CHECK_FALSE(cold_.Find(kEngine, kStart + 300s).has_value());
}

TEST(ColdEndpointsTest, NeedsTermsOfTheService)
{
  cold_.OnListed(Engine(3'000ms), kStart);
  cold_.SetTerms({ { "engines", { .startDuration_ = 3'000ms } } });
  CHECK_FALSE(cold_.Find(kEngine, kStart).has_value());
  CHECK_FALSE(cold_.TermsOf(kEngine).has_value());
}

TEST(ColdEndpointsTest, ReportsEachChangeOnce)
{
  cold_.OnListed(Engine(3'000ms), kStart);
  LONGS_EQUAL(1, cold_.TakeChanges(kStart).size());
  LONGS_EQUAL(0, cold_.TakeChanges(kStart + 1s).size());
  const auto changes = cold_.TakeChanges(kStart + 3s);
  CHECK_FALSE(changes.at(0).state_.has_value());
}

TEST(ColdEndpointsTest, RemovesEndpointsThatStayUnlisted)
{
  cold_.OnListed(Engine({}), kStart);
  cold_.Sweep([](const Incarnation&) { return false; }, kStart + 60s);
  CHECK_TRUE(cold_.TermsOf(kEngine).has_value());
  cold_.Sweep([](const Incarnation&) { return false; }, kStart + 61s);
  CHECK_FALSE(cold_.TermsOf(kEngine).has_value());
}

TEST(ColdEndpointsTest, GrantsNothingIfTheBoundLeavesNoRoom)
{
  DOUBLES_EQUAL(0, ColdGrantRate({ .perSecond_ = 1 }, { .zones_ = 3 }), 0.0001);
  const double nan = std::numeric_limits<double>::quiet_NaN();
  CHECK_FALSE(ColdGrantRate({ .perSecond_ = nan }, {}) > 0);
}
