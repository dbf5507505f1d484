// Tests of decoding the fleet platform's header fields.

#include "gooseberrylift-fleet-dialect.h"
#include "gooseberrylift-fleet-names.h"
#include "harness-odd-names.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::platform;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

AdvertisedRateLimit ParseRateLimit(const std::string& aText)
{
  HttpResponse head{ .status_ = 200 };
  head.fields_.push_back({ kServerLimit, aText });
  return FleetDialect().ParseEndpointResponse(head).notice_.rateLimit_;
}

// Parses the backoff in a response with one Retry-After field for each value.
RequestedBackoff ParseBackoff(int aStatus,
                              const std::vector<std::string>& aValues)
{
  HttpResponse head{ .status_ = aStatus };
  for (const std::string& value : aValues) {
    head.fields_.push_back({ "retry-after", value });
  }
  return FleetDialect().ParseEndpointResponse(head).notice_.backoff_;
}

void CheckBackoff(std::chrono::milliseconds aExpected,
                  const RequestedBackoff& aBackoff)
{
  CHECK_TRUE(aBackoff.kind_ == RequestedBackoff::Kind::kSpecified);
  LONGS_EQUAL(aExpected.count(), aBackoff.duration_.count());
}

bool IsLeaving(int aStatus, const std::string& aValue)
{
  HttpResponse head{ .status_ = aStatus };
  head.fields_.push_back({ kServerLeaving, aValue });
  return FleetDialect().ParseEndpointResponse(head).notice_.leaving_;
}

CallerRequestMetadata ParseCallerField(const char* aName,
                                       const std::string& aValue)
{
  HttpRequest request{ .method_ = "POST", .target_ = "/" };
  request.fields_.push_back({ aName, aValue });
  return FleetDialect().ParseCallerRequest(request);
}

void CheckSpecified(double aPerSecond, const std::string& aText)
{
  const AdvertisedRateLimit rateLimit = ParseRateLimit(aText);
  CHECK_TRUE(rateLimit.kind_ == AdvertisedRateLimit::Kind::kSpecified);
  DOUBLES_EQUAL(aPerSecond, rateLimit.perSecond_, 1e-9);
}

nlohmann::json SoundEntry()
{
  return { { "service", "s" },  { "address", "127.0.0.1:80" },
           { "zone", "z" },     { "version", "v1" },
           { "slots", 1 },      { "sequence", 1 },
           { "state", "ready" } };
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
      .notice_.rateLimit_;
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

TEST(DialectTest, ReadsBackoffsOfRejectionsInSecondsRoundedUp)
{
  CheckBackoff(3s, ParseBackoff(503, { "3" }));
  CheckBackoff(3s, ParseBackoff(429, { "3" }));
  CheckBackoff(1500ms, ParseBackoff(503, { "1.5" }));
  CheckBackoff(1ms, ParseBackoff(503, { "0.0001" }));
  CheckBackoff(24h, ParseBackoff(503, { "1e300" }));
}

TEST(DialectTest, AppliesTheLongestOfSeveralBackoffs)
{
  CheckBackoff(4s, ParseBackoff(503, { "2", "4", "1" }));
  CheckBackoff(2s, ParseBackoff(503, { "soon", "2", "-1" }));
}

TEST(DialectTest, ReadsNoBackoffWhereNoneIsAsked)
{
  using Kind = RequestedBackoff::Kind;
  CHECK_TRUE(ParseBackoff(503, {}).kind_ == Kind::kNone);
  CHECK_TRUE(ParseBackoff(503, { "0" }).kind_ == Kind::kNone);
  CHECK_TRUE(ParseBackoff(503, { "" }).kind_ == Kind::kNone);
  CHECK_TRUE(ParseBackoff(200, { "3" }).kind_ == Kind::kNone);
  CHECK_TRUE(ParseBackoff(500, { "3" }).kind_ == Kind::kNone);
}

TEST(DialectTest, TellsBackoffsThatCannotBeReadFromNone)
{
  for (const char* text : { "-1",
                            "nan",
                            "inf",
                            "1e999",
                            "soon",
                            "3s",
                            "Thu, 01 Jan 1970 00:00:00 GMT" }) {
    CHECK_TRUE(ParseBackoff(503, { text }).kind_ ==
               RequestedBackoff::Kind::kMalformed);
  }
}

// Guards against a caller's deadline that overflows, and so lifts the timeout
// of the route.
TEST(DialectTest, LimitsTheDeadlineOfACaller)
{
  const auto parse = [](const std::string& aText) {
    return ParseCallerField(kDeadlineMs, aText).callerTimeout_;
  };
  CHECK_TRUE(parse("60000") == 60s);
  CHECK_TRUE(parse("0") == 0s);
  for (const char* text : { "86400001",
                            "9223372036854",
                            "9223372036854775807",
                            "9223372036854775808",
                            "18446744073709551615",
                            "18446744073709551616" }) {
    CHECK_TRUE(parse(text) == 24h);
  }
  for (const char* text : { "", "-1", "1e3", " 5", "5 ", "soon" }) {
    CHECK_FALSE(parse(text).has_value());
  }
}

// Guards against predictions that overflow because of the length that a caller
// states.
TEST(DialectTest, LimitsTheTokensThatACallerStates)
{
  const auto parse = [](const std::string& aText) {
    const auto metadata = ParseCallerField(kTokenUsage, aText);
    return std::pair(metadata.promptTokens_, metadata.answerTokens_);
  };
  using Tokens = std::pair<std::uint64_t, std::uint64_t>;
  constexpr std::uint64_t kMost = 1'000'000'000;
  CHECK_TRUE(parse("1460,80") == Tokens(1460, 80));
  CHECK_TRUE(parse("18446744073709551615,18446744073709551615") ==
             Tokens(kMost, kMost));
  CHECK_TRUE(parse("18446744073709551616,1") == Tokens(kMost, 1));
  CHECK_TRUE(parse("1460") == Tokens(0, 0));
  CHECK_TRUE(parse("-1,80") == Tokens(0, 80));
}

TEST(DialectTest, ReadsThatAnEndpointIsLeavingFromAnyResponse)
{
  for (const int status : { 200, 409, 421, 429, 500, 503 }) {
    CHECK_TRUE(IsLeaving(status, "1"));
    CHECK_FALSE(IsLeaving(status, ""));
    CHECK_FALSE(IsLeaving(status, "0"));
  }
}

TEST(DialectTest, ReadsWhatColdEndpointsTolerateAndAllowedRegions)
{
  const nlohmann::json spec = {
    { "version", 1 },
    { "routes",
      { { { "name", "r" },
          { "host", "h" },
          { "pathPrefix", "/r/" },
          { "type", "safe" },
          { "service", "cold" },
          { "allowedRegions", { "north" } } } } },
    { "services",
      { { { "name", "cold" }, { "coldStartS", 3.5 }, { "coldPerS", 26.0 } },
        { { "name", "absurd" }, { "coldStartS", 1e300 }, { "coldPerS", -1 } },
        { { "name", "plain" } } } },
    { "tenants",
      { { { "name", "t" },
          { "apiKeys", { "key" } },
          { "allowedRegions", { "north", "south" } } } } }
  };
  const RouteDocument document = FleetDialect().ParseRoutes(spec).value();
  STRCMP_EQUAL("north", document.routes_.at(0).allowedRegions_.at(0).c_str());
  LONGS_EQUAL(2, document.teams_->at(0).allowedRegions_.size());
  LONGS_EQUAL(3'500, document.services_.at(0).coldStart_.count());
  DOUBLES_EQUAL(26, document.services_.at(0).coldPerSecond_, 0);
  LONGS_EQUAL(300'000, document.services_.at(1).coldStart_.count());
  DOUBLES_EQUAL(0, document.services_.at(1).coldPerSecond_, 0);
  LONGS_EQUAL(0, document.services_.at(2).coldStart_.count());
}

TEST(DialectTest, AcceptsOnlyEntriesWhoseNamesAreIds)
{
  const auto parse = [](const std::string& aName) {
    return FleetDialect().ParseListedEndpoint(
      { .kind_ = kEndpointsKind, .name_ = aName, .spec_ = SoundEntry() });
  };
  for (const std::string& name : kOddNames) {
    const auto entry = parse(name);
    CHECK_TRUE(entry.has_error());
    CHECK_TRUE(entry.error().code_ == ResultCode::kEntryInvalid);
  }
  CHECK_FALSE(parse(""));
  for (const char* id : { "i-7f3a91c2", "0", "A.b_c~d-e" }) {
    STRCMP_EQUAL(id, parse(id).value().id_.c_str());
  }
}

TEST(DialectTest, TellsAnEntryWithoutRemainingColdTimeFromOneThatIsWarm)
{
  nlohmann::json spec = SoundEntry();
  const auto parse = [&spec] {
    return FleetDialect().ParseListedEndpoint(
      { .kind_ = kEndpointsKind, .name_ = "e", .spec_ = spec });
  };
  CHECK_FALSE(parse().value().warmUpRemaining_.has_value());
  spec["coldRemainingMs"] = 0;
  CHECK_TRUE(parse().value().warmUpRemaining_ == 0ms);
  spec["coldRemainingMs"] = -5;
  CHECK_TRUE(parse().value().warmUpRemaining_ == -5ms);
  spec["coldRemainingMs"] = "soon";
  CHECK_FALSE(parse());
}
