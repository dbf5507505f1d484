#include "gooseberrylift/limits/gooseberrylift-endpoint-rate-limits.h"

#include "gooseberrylift/gooseberrylift-digest-codec.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

const Incarnation kEngine{ .id_ = "engine-1", .startTime_ = StartTime(5ms) };
constexpr AdvertisedRateLimit kNoLimit{};
constexpr AdvertisedRateLimit kMalformed{
  .kind_ = AdvertisedRateLimit::Kind::kMalformed
};

AdvertisedRateLimit Limit(double aPerSecond)
{
  return { .kind_ = AdvertisedRateLimit::Kind::kSpecified,
           .perSecond_ = aPerSecond };
}

bool Listed(const Incarnation& /*aEndpoint*/)
{
  return true;
}

bool Unlisted(const Incarnation& /*aEndpoint*/)
{
  return false;
}

EndpointRateLimits MakeRates()
{
  return EndpointRateLimits(EndpointRateLimits::Options{});
}

} // namespace

TEST_GROUP(EndpointRateLimitsTest){};

TEST(EndpointRateLimitsTest, ReportsNewLimitAndItsChangesOnly)
{
  EndpointRateLimits rates = MakeRates();
  CHECK_FALSE(rates.Of(kEngine).has_value());
  CHECK_TRUE(rates.OnAnswer(kEngine, Limit(1.5), TimePoint(1s), TimePoint(2s)));
  CHECK_FALSE(
    rates.OnAnswer(kEngine, Limit(1.5), TimePoint(2s), TimePoint(3s)));
  const auto changed =
    rates.OnAnswer(kEngine, Limit(2.5), TimePoint(3s), TimePoint(4s));
  CHECK_TRUE(changed.has_value());
  DOUBLES_EQUAL(2.5, *rates.Of(kEngine), 0.001);
}

TEST(EndpointRateLimitsTest, FollowsDecreasingRateWithFewChanges)
{
  EndpointRateLimits rates = MakeRates();
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

TEST(EndpointRateLimitsTest, OnlyResponseToLaterRequestLiftsLimit)
{
  EndpointRateLimits rates = MakeRates();
  rates.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  CHECK_FALSE(rates.OnAnswer(kEngine, kNoLimit, TimePoint(1s), TimePoint(3s)));
  CHECK_TRUE(rates.Of(kEngine).has_value());
  CHECK_TRUE(rates.OnAnswer(kEngine, kNoLimit, TimePoint(3s), TimePoint(4s)));
  CHECK_FALSE(rates.Of(kEngine).has_value());
}

TEST(EndpointRateLimitsTest, UnreadableNoticeKeepsCurrentLimit)
{
  EndpointRateLimits rates = MakeRates();
  CHECK_FALSE(
    rates.OnAnswer(kEngine, kMalformed, TimePoint(1s), TimePoint(2s)));
  CHECK_FALSE(rates.Of(kEngine).has_value());
  rates.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  rates.OnAnswer(kEngine, kMalformed, TimePoint(3s), TimePoint(4s));
  DOUBLES_EQUAL(2, *rates.Of(kEngine), 0.001);
}

TEST(EndpointRateLimitsTest, HigherVersionWinsBetweenPeers)
{
  EndpointRateLimits first = MakeRates();
  EndpointRateLimits second = MakeRates();
  first.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  LONGS_EQUAL(1, second.OnPeer(first.Entries(), Listed, TimePoint(2s)).size());
  second.OnAnswer(kEngine, kNoLimit, TimePoint(3s), TimePoint(4s));
  LONGS_EQUAL(0, second.OnPeer(first.Entries(), Listed, TimePoint(5s)).size());
  CHECK_FALSE(second.Of(kEngine).has_value());
  LONGS_EQUAL(1, first.OnPeer(second.Entries(), Listed, TimePoint(5s)).size());
  CHECK_FALSE(first.Of(kEngine).has_value());
}

TEST(EndpointRateLimitsTest, LowerLimitWinsForEqualVersions)
{
  EndpointRateLimits first = MakeRates();
  EndpointRateLimits second = MakeRates();
  first.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  second.OnAnswer(kEngine, Limit(3), TimePoint(1s), TimePoint(2s));
  const auto received = second.Entries();
  second.OnPeer(first.Entries(), Listed, TimePoint(3s));
  first.OnPeer(received, Listed, TimePoint(3s));
  DOUBLES_EQUAL(2, *first.Of(kEngine), 0.001);
  DOUBLES_EQUAL(2, *second.Of(kEngine), 0.001);
}

TEST(EndpointRateLimitsTest, LimitDoesNotApplyToAnotherIncarnation)
{
  EndpointRateLimits rates = MakeRates();
  rates.OnAnswer(kEngine, Limit(2), TimePoint(1s), TimePoint(2s));
  const Incarnation restarted{ .id_ = kEngine.id_,
                               .startTime_ = StartTime(9ms) };
  CHECK_FALSE(rates.Of(restarted).has_value());
}

TEST(EndpointRateLimitsTest, RemovesUnlistedEndpointsAndIgnoresThemFromPeers)
{
  EndpointRateLimits rates = MakeRates();
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

TEST(EndpointRateLimitsTest, EntriesSurviveDigestRoundTrip)
{
  EndpointRateLimits rates = MakeRates();
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
