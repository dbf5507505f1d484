#include "gooseberrylift/limits/gooseberrylift-endpoint-rates.h"

#include "gooseberrylift/gooseberrylift-digest-codec.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

const Incarnation kEngine{ .id_ = "engine-1", .born_ = BirthTime(5ms) };
constexpr RateNotice kNoLimit{};
constexpr RateNotice kUnreadable{ .kind_ = RateNotice::Kind::kUnreadable };

RateNotice Limit(double aPerSecond)
{
  return { .kind_ = RateNotice::Kind::kNamed, .perSecond_ = aPerSecond };
}

bool Listed(const Incarnation& /*aEndpoint*/)
{
  return true;
}

bool Unlisted(const Incarnation& /*aEndpoint*/)
{
  return false;
}

EndpointRates MakeRates()
{
  return EndpointRates(EndpointRates::Options{});
}

} // namespace

TEST_GROUP(EndpointRatesTest){};

TEST(EndpointRatesTest, ReportsNewLimitAndItsChangesOnly)
{
  EndpointRates rates = MakeRates();
  CHECK_FALSE(rates.Of(kEngine).has_value());
  CHECK_TRUE(rates.OnAnswer(kEngine, Limit(1.5), TimePoint(1s), TimePoint(2s)));
  CHECK_FALSE(
    rates.OnAnswer(kEngine, Limit(1.5), TimePoint(2s), TimePoint(3s)));
  const auto changed =
    rates.OnAnswer(kEngine, Limit(2.5), TimePoint(3s), TimePoint(4s));
  CHECK_TRUE(changed.has_value());
  DOUBLES_EQUAL(2.5, *rates.Of(kEngine), 0.001);
}

TEST(EndpointRatesTest, FollowsDecreasingRateWithFewChanges)
{
  EndpointRates rates = MakeRates();
  int changes = 0;
  for (int answer = 0; answer <= 100; ++answer) {
    const double perSecond = 10 - 0.09 * answer;
    const bool changed =
      rates.OnAnswer(kEngine, Limit(perSecond), TimePoint(1s), TimePoint(2s))
        .has_value();
    changes += changed ? 1 : 0;
    CHECK_TRUE(*rates.Of(kEngine) <= perSecond * 1.12);
  }
  CHECK_TRUE(changes < 30);
}

TEST(EndpointRatesTest, OnlyResponseToLaterRequestLiftsLimit)
{
  EndpointRates rates = MakeRates();
  rates.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  CHECK_FALSE(rates.OnAnswer(kEngine, kNoLimit, TimePoint(1s), TimePoint(3s)));
  CHECK_TRUE(rates.Of(kEngine).has_value());
  CHECK_TRUE(rates.OnAnswer(kEngine, kNoLimit, TimePoint(3s), TimePoint(4s)));
  CHECK_FALSE(rates.Of(kEngine).has_value());
}

TEST(EndpointRatesTest, UnreadableNoticeKeepsCurrentLimit)
{
  EndpointRates rates = MakeRates();
  CHECK_FALSE(
    rates.OnAnswer(kEngine, kUnreadable, TimePoint(1s), TimePoint(2s)));
  CHECK_FALSE(rates.Of(kEngine).has_value());
  rates.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  rates.OnAnswer(kEngine, kUnreadable, TimePoint(3s), TimePoint(4s));
  DOUBLES_EQUAL(2, *rates.Of(kEngine), 0.001);
}

TEST(EndpointRatesTest, HigherVersionWinsBetweenPeers)
{
  EndpointRates first = MakeRates();
  EndpointRates second = MakeRates();
  first.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  LONGS_EQUAL(1, second.OnPeer(first.Entries(), Listed, TimePoint(2s)).size());
  second.OnAnswer(kEngine, kNoLimit, TimePoint(3s), TimePoint(4s));
  LONGS_EQUAL(0, second.OnPeer(first.Entries(), Listed, TimePoint(5s)).size());
  CHECK_FALSE(second.Of(kEngine).has_value());
  LONGS_EQUAL(1, first.OnPeer(second.Entries(), Listed, TimePoint(5s)).size());
  CHECK_FALSE(first.Of(kEngine).has_value());
}

TEST(EndpointRatesTest, LowerLimitWinsForEqualVersions)
{
  EndpointRates first = MakeRates();
  EndpointRates second = MakeRates();
  first.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  second.OnAnswer(kEngine, Limit(3), TimePoint(1s), TimePoint(2s));
  const auto received = second.Entries();
  second.OnPeer(first.Entries(), Listed, TimePoint(3s));
  first.OnPeer(received, Listed, TimePoint(3s));
  DOUBLES_EQUAL(2, *first.Of(kEngine), 0.001);
  DOUBLES_EQUAL(2, *second.Of(kEngine), 0.001);
}

TEST(EndpointRatesTest, LimitDoesNotApplyToAnotherIncarnation)
{
  EndpointRates rates = MakeRates();
  rates.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  const Incarnation restarted{ .id_ = kEngine.id_, .born_ = BirthTime(9ms) };
  CHECK_FALSE(rates.Of(restarted).has_value());
}

TEST(EndpointRatesTest, RemovesUnlistedEndpointsAndIgnoresThemFromPeers)
{
  EndpointRates rates = MakeRates();
  rates.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  const auto received = rates.Entries();
  rates.Sweep(Listed, TimePoint(100s));
  rates.Sweep(Unlisted, TimePoint(130s));
  CHECK_TRUE(rates.Of(kEngine).has_value());
  rates.Sweep(Unlisted, TimePoint(161s));
  CHECK_FALSE(rates.Of(kEngine).has_value());
  rates.OnPeer(received, Unlisted, TimePoint(162s));
  LONGS_EQUAL(0, rates.Entries().size());
}

TEST(EndpointRatesTest, EntriesSurviveDigestRoundTrip)
{
  EndpointRates rates = MakeRates();
  rates.OnAnswer(kEngine, Limit(1.5), TimePoint(1s), TimePoint(2s));
  const Incarnation other{ .id_ = "engine-2" };
  rates.OnAnswer(other, Limit(4), TimePoint(1s), TimePoint(2s));
  rates.OnAnswer(other, kNoLimit, TimePoint(3s), TimePoint(4s));
  const Digest digest{ .host_ = "host", .rates_ = rates.Entries() };
  const Digest read = DigestFromJson(DigestToJson(digest));
  LONGS_EQUAL(2, read.rates_.size());
  CHECK_TRUE(read.rates_[0].endpoint_ == kEngine);
  DOUBLES_EQUAL(1.5, *read.rates_[0].perSecond_, 0.001);
  LONGS_EQUAL(2, read.rates_[1].version_);
  CHECK_FALSE(read.rates_[1].perSecond_.has_value());
}
