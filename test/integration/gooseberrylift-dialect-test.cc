// Tests of decoding the fleet platform's header fields.

#include "gooseberrylift-fleet-dialect.h"
#include "gooseberrylift-fleet-names.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::platform;

namespace {

AdvertisedRateLimit ParseRateLimit(const std::string& aText)
{
  HttpResponse head{ .status_ = 200 };
  head.fields_.push_back({ kServerLimit, aText });
  return FleetDialect().ParseEndpointResponse(head).advertisedRateLimit_;
}

void CheckSpecified(double aPerSecond, const std::string& aText)
{
  const AdvertisedRateLimit rateLimit = ParseRateLimit(aText);
  CHECK_TRUE(rateLimit.kind_ == AdvertisedRateLimit::Kind::kSpecified);
  DOUBLES_EQUAL(aPerSecond, rateLimit.perSecond_, 1e-9);
}

} // namespace

TEST_GROUP(DialectTest){};

TEST(DialectTest, ReadsRateLimitsAsDecimalNumbers)
{
  CheckSpecified(1.9, "1.9");
  CheckSpecified(3, "3");
  CheckSpecified(0, "0");
  CheckSpecified(1e9, "1000000000");
}

TEST(DialectTest, ReadsNoRateLimitWhereNoneStands)
{
  const AdvertisedRateLimit absent =
    FleetDialect()
      .ParseEndpointResponse(HttpResponse{ .status_ = 200 })
      .advertisedRateLimit_;
  CHECK_TRUE(absent.kind_ == AdvertisedRateLimit::Kind::kNone);
  CHECK_TRUE(ParseRateLimit("").kind_ == AdvertisedRateLimit::Kind::kNone);
}

TEST(DialectTest, TellsRateLimitsThatCannotBeReadFromNone)
{
  for (const char* text :
       { "-1", "nan", "inf", "1e999", "two", "1.5x", "1,5", "1.5;q=2" }) {
    CHECK_TRUE(ParseRateLimit(text).kind_ ==
               AdvertisedRateLimit::Kind::kMalformed);
  }
}
