// How the fleet platform's fields are decoded.

#include "gooseberrylift-fleet-dialect.h"
#include "gooseberrylift-fleet-names.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::platform;

namespace {

AdvertisedRateLimit NoticeOf(const std::string& aText)
{
  HttpResponse head{ .status_ = 200 };
  head.fields_.push_back({ kServerLimit, aText });
  return FleetDialect().ParseEndpointResponse(head).advertisedRateLimit_;
}

void CheckNamed(double aPerSecond, const std::string& aText)
{
  const AdvertisedRateLimit notice = NoticeOf(aText);
  CHECK_TRUE(notice.kind_ == AdvertisedRateLimit::Kind::kSpecified);
  DOUBLES_EQUAL(aPerSecond, notice.perSecond_, 1e-9);
}

} // namespace

TEST_GROUP(DialectTest){};

TEST(DialectTest, ReadsRateLimitsAsDecimalNumbers)
{
  CheckNamed(1.9, "1.9");
  CheckNamed(3, "3");
  CheckNamed(0, "0");
  CheckNamed(1e9, "1000000000");
}

TEST(DialectTest, ReadsNoRateLimitWhereNoneStands)
{
  const AdvertisedRateLimit absent =
    FleetDialect()
      .ParseEndpointResponse(HttpResponse{ .status_ = 200 })
      .advertisedRateLimit_;
  CHECK_TRUE(absent.kind_ == AdvertisedRateLimit::Kind::kNone);
  CHECK_TRUE(NoticeOf("").kind_ == AdvertisedRateLimit::Kind::kNone);
}

TEST(DialectTest, TellsRateLimitsThatCannotBeReadFromNone)
{
  for (const char* text :
       { "-1", "nan", "inf", "1e999", "two", "1.5x", "1,5", "1.5;q=2" }) {
    CHECK_TRUE(NoticeOf(text).kind_ == AdvertisedRateLimit::Kind::kMalformed);
  }
}
