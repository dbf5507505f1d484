#include "gooseberrylift/gooseberrylift-settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using gooseberrylift::Error;
using gooseberrylift::ResultCode;
using gooseberrylift::Settings;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

json GatewayDocument()
{
  return { { "host", { { "name", "a" }, { "zone", "z" } } },
           { "caller", { { "port", 0 } } },
           { "store", { { "addresses", { "127.0.0.1:1" } } } },
           { "gateway", json::object() } };
}

// Returns the settings with one value changed.
json With(const char* aPointer, const json& aValue)
{
  json document = GatewayDocument();
  document[json::json_pointer(aPointer)] = aValue;
  return document;
}

// Parses settings, which may be invalid; stores the error's text, which is
// empty if they are valid.
Settings ParseSettings(const json& aDocument, std::string& aError)
{
  return boost::leaf::try_handle_all(
    [&] { return Settings::Parse(aDocument.dump()); },
    [&](const Error& aCause) {
      CHECK(aCause.code_ == ResultCode::kSettingsInvalid);
      aError = aCause.text_;
      return Settings{};
    },
    [&] {
      aError = "no Error object";
      return Settings{};
    });
}

Settings ParseValid(const json& aDocument)
{
  std::string error;
  Settings settings = ParseSettings(aDocument, error);
  STRCMP_EQUAL("", error.c_str());
  return settings;
}

milliseconds ParsedRetryWindow(const json& aValue)
{
  return ParseValid(With("/gateway/retry_window_ms", aValue))
    .gateway_.value()
    .retryWindow_;
}

void ExpectTime(std::int64_t aMilliseconds, const json& aValue)
{
  LONGS_EQUAL(aMilliseconds, ParsedRetryWindow(aValue).count());
}

void ExpectError(const char* aText, const char* aPointer, const json& aValue)
{
  std::string error;
  (void)ParseSettings(With(aPointer, aValue), error);
  STRCMP_CONTAINS(aText, error.c_str());
}

void ExpectDrain(std::int64_t aLag, std::int64_t aLimit, const json& aGrace)
{
  const Settings settings = ParseValid(With("/drain/grace_s", aGrace));
  LONGS_EQUAL(aLag, settings.drainLag_.count());
  LONGS_EQUAL(aLimit, settings.drainLimit_.count());
}

} // namespace

TEST_GROUP(SettingsTest){};

TEST(SettingsTest, ReadsTimesInEverySpellingOfANumber)
{
  for (const json& value : std::initializer_list<json>{
         2500, 2500.0, 2.5e3, "2500", "2500.0", "2.5e3", " 2500 " }) {
    ExpectTime(2500, value);
  }
  ExpectTime(2501, 2500.5);
  ExpectTime(1, 0.2);
}

TEST(SettingsTest, ReadsTimesInSeconds)
{
  for (const json& value :
       std::initializer_list<json>{ 10, 10.0, "10", "10.0", "1e1" }) {
    const auto settings = ParseValid(With("/gateway/retry_window_s", value));
    LONGS_EQUAL(10'000, settings.gateway_->retryWindow_.count());
  }
  const auto settings = ParseValid(With("/gateway/retry_window_s", "2.5"));
  LONGS_EQUAL(2'500, settings.gateway_->retryWindow_.count());
  LONGS_EQUAL(50, ParseValid(With("/load_poll_s", "0.05")).loadPoll_.count());
}

TEST(SettingsTest, ReadsCountsRatiosAndBooleansInEverySpelling)
{
  LONGS_EQUAL(2500,
              ParseValid(With("/caller/max_connections", "2500.0"))
                .caller_.maxConnections_);
  LONGS_EQUAL(7340, ParseValid(With("/peer/port", 7340.0)).peer_.port_);
  const auto ratio = ParseValid(With("/gateway/retry_ratio", "0.5"));
  DOUBLES_EQUAL(0.5, ratio.gateway_->retryRatio_, 1e-9);
  for (const json& value :
       std::initializer_list<json>{ false, "false", "False", 0, "0" }) {
    const auto settings = ParseValid(With("/gateway/strict_revocation", value));
    CHECK_FALSE(settings.gateway_->strictRevocation_);
  }
  CHECK_TRUE(
    ParseValid(With("/gateway/evacuations", "true")).gateway_->evacuations_);
}

TEST(SettingsTest, TakesTheDefaultForNullAndEmptyValues)
{
  for (const json& value : std::initializer_list<json>{ nullptr, "", " " }) {
    ExpectTime(10'000, value);
    for (const char* pointer : { "/host/region",
                                 "/peer",
                                 "/peer/port",
                                 "/peer/seeds",
                                 "/drain/grace_s",
                                 "/log",
                                 "/log/level",
                                 "/gateway/strict_revocation",
                                 "/gateway/retry_ratio",
                                 "/gateway/cold_slack",
                                 "/gateway/zone_regions" }) {
      const Settings settings = ParseValid(With(pointer, value));
      CHECK_TRUE(settings.gateway_->strictRevocation_);
      CHECK_FALSE(settings.gateway_->coldSlack_.has_value());
      LONGS_EQUAL(2'000, settings.drainLag_.count());
    }
  }
  CHECK_FALSE(ParseValid(With("/gateway/cold_slack", "false"))
                .gateway_->coldSlack_.has_value());
}

TEST(SettingsTest, ReadsAddressesFromAListOrFromJoinedText)
{
  for (const json& value : { json("10.1.0.40:1, 10.2.0.29:2"),
                             json({ "10.1.0.40:1,10.2.0.29:2", "" }),
                             json({ "10.1.0.40:1", "10.2.0.29:2" }) }) {
    const Settings settings = ParseValid(With("/peer/seeds", value));
    LONGS_EQUAL(2, settings.peerSeeds_.size());
    STRCMP_EQUAL("10.2.0.29:2", settings.peerSeeds_.back().c_str());
  }
}

TEST(SettingsTest, NamesTheFieldOfAWrongValue)
{
  for (const json& value : std::initializer_list<json>{ "ten",
                                                        "10 s",
                                                        "0x10",
                                                        "nan",
                                                        "inf",
                                                        "1e999",
                                                        "2,5",
                                                        true,
                                                        0,
                                                        -5,
                                                        86'400'001,
                                                        1e300,
                                                        json::array({ 1 }) }) {
    ExpectError(
      "[gateway][retry_window_ms]", "/gateway/retry_window_ms", value);
    ExpectError("[gateway]", "/gateway/retry_window_s", value);
  }
  ExpectError("[caller][max_connections]", "/caller/max_connections", 2500.5);
  ExpectError(
    "[gateway][strict_revocation]", "/gateway/strict_revocation", "yes and no");
  ExpectError("[gateway][retry_ratio]", "/gateway/retry_ratio", "11");
  ExpectError("[peer][seeds]", "/peer/seeds", "nowhere");
  ExpectError("'name'", "/host/name", "");
  ExpectError("[store][addresses]", "/store/addresses", json::array());
}

TEST(SettingsTest, RejectsUnknownFieldsAndTimesThatAreGivenTwice)
{
  ExpectError("retry_windows_ms", "/gateway/retry_windows_ms", 1000);
  ExpectError("retry_windows_ms", "/gateway/retry_windows_ms", "");
  json document = With("/gateway/retry_window_ms", 1000);
  document["gateway"]["retry_window_s"] = 1;
  std::string error;
  (void)ParseSettings(document, error);
  STRCMP_CONTAINS("retry_window_s", error.c_str());
}

TEST(SettingsTest, DerivesTheTimesOfAStopFromTheGracePeriod)
{
  ExpectDrain(2'800, 4'400, 8);
  ExpectDrain(2'800, 4'400, "8.0");
  ExpectDrain(2'800, 26'400, 30);
  ExpectDrain(1'333, 1'867, 4);
  ExpectDrain(500, 700, 2);
  ExpectDrain(208, 292, 1);
  ExpectDrain(0, 0, 0);
}

TEST(SettingsTest, PrefersGivenTimesOfAStopToDerivedOnes)
{
  json document = With("/drain/grace_s", 8);
  document["drain"]["lag_ms"] = 1'200;
  Settings settings = ParseValid(document);
  LONGS_EQUAL(1'200, settings.drainLag_.count());
  LONGS_EQUAL(6'000, settings.drainLimit_.count());
  document["drain"]["limit_ms"] = 500;
  settings = ParseValid(document);
  LONGS_EQUAL(500, settings.drainLimit_.count());
}
